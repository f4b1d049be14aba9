"""Reading a sheet from a CSV file."""

import csv
import dataclasses
import io
import pathlib

import cbor2

from cranberryport import codec, findings
from cranberryport.generated import messages
from cranberryport.sheet import fields

FILE_LIMIT_BYTES = 1024 * 1024
# An append to the log holds 1 MiB; the rest of the publication takes far less than
# the difference.
ROWS_LIMIT_BYTES = 1024 * 1024 - 4096


@dataclasses.dataclass(kw_only=True, slots=True)
class Sheet:
    """One authority's sheet as read from a file.

    Attributes
    ----------
    authority : str
        ``owner`` or ``team``; empty if no row names one of them.
    rows : list of messages.SheetRow
        The rows that have all columns.
    findings : list of findings.Finding
        Everything that the check found.
    """

    authority: str
    rows: list[messages.SheetRow]
    findings: list[findings.Finding]


def read(path):
    """Read and check a sheet.

    Parameters
    ----------
    path : str or pathlib.Path
        CSV file with the rows of one authority.

    Returns
    -------
    tuple of (list of messages.SheetRow, list of findings.Finding)
        The rows, which are only fit for use if the findings have no error, and the
        findings.
    """
    sheet = read_sheet(path)
    return sheet.rows, sheet.findings


def read_sheet(path):
    """Read and check a sheet; return a :class:`Sheet` with its authority."""
    sheet = Sheet(authority="", rows=[], findings=[])
    file_name = str(path)
    text = _text(path, file_name, sheet.findings)
    if text is None:
        return sheet
    cells = _records(text, file_name, sheet.findings)
    header = next(cells, None)
    if header is None:
        _add(sheet.findings, file_name, "the file is empty", "", _header_text())
        return sheet
    columns = _columns(header[1], file_name, sheet.findings)
    if columns is None:
        return sheet
    _read_rows(cells, columns, file_name, sheet)
    if not sheet.rows and not findings.has_errors(sheet.findings):
        _add(sheet.findings, file_name, "the sheet has no rows", "", "one row or more")
    _check_size(sheet, file_name)
    sheet.findings.extend(fields.check_rows(sheet.rows, file_name=file_name))
    return sheet


def _add(result, place, message, found="", allowed=""):
    result.append(
        findings.Finding(place=place, message=message, found=found, allowed=allowed)
    )


def _header_text():
    return "the header " + ",".join(fields.COLUMNS)


def _text(path, file_name, result):
    try:
        with pathlib.Path(path).open("rb") as file:
            data = file.read(FILE_LIMIT_BYTES + 1)
    except OSError as error:
        _add(result, file_name, f"cannot read the file: {error.strerror}")
        return None
    if len(data) > FILE_LIMIT_BYTES:
        limit = f"at most {FILE_LIMIT_BYTES} bytes"
        _add(result, file_name, "the file is too large", allowed=limit)
        return None
    try:
        # Spreadsheets begin an export with a byte order mark.
        return data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        _add(
            result,
            f"{file_name}:line {line}",
            f"not UTF-8 at byte {error.start}",
            f"0x{data[error.start]:02x}",
            "UTF-8 text",
        )
        # The other problems of the file are still worth reporting.
        return data.decode("utf-8-sig", errors="replace")


def _records(text, file_name, result):
    """Yield the number and cells of each record that is not blank."""
    reader = csv.reader(io.StringIO(text, newline=""), strict=True)
    number = 0
    while True:
        try:
            cells = next(reader)
        except StopIteration:
            return
        except csv.Error as error:
            message = f"not CSV, the rest of the file is not read: {error}"
            _add(result, f"{file_name}:row {number + 1}", message)
            return
        number += 1
        cells = [cell.strip() for cell in cells]
        # Spreadsheets export emptied rows at the end as separators only.
        if any(cells):
            yield number, cells


def _columns(header, file_name, result):
    """Return the names of the columns in order, None if the rows cannot be read."""
    if tuple(header) == fields.COLUMNS:
        return fields.COLUMNS
    found = ",".join(header)
    place = f"{file_name}:row 1"
    _add(result, place, "bad header", found, ",".join(fields.COLUMNS))
    if len(header) != len(fields.COLUMNS):
        return None
    reordered = sorted(header) == sorted(fields.COLUMNS)
    return tuple(header) if reordered else fields.COLUMNS


def _read_rows(cells, columns, file_name, sheet):
    for number, values in cells:
        if len(values) != len(columns):
            place = f"{file_name}:row {number}"
            found = f"{len(values)} columns"
            allowed = f"{len(columns)} columns: {','.join(fields.COLUMNS)}"
            _add(sheet.findings, place, "wrong column count", found, allowed)
            continue
        row = dict(zip(columns, values, strict=True))
        _check_authority(row.pop("authority"), number, file_name, sheet)
        sheet.rows.append(messages.SheetRow(row=number, **row))


def _check_authority(authority, number, file_name, sheet):
    place = fields.cell_place(number, "authority", file_name)
    if authority not in fields.AUTHORITIES:
        allowed = ", ".join(fields.AUTHORITIES)
        _add(sheet.findings, place, "unknown authority", authority, allowed)
    elif not sheet.authority:
        sheet.authority = authority
    elif authority != sheet.authority:
        message = "a file holds the rows of one authority"
        allowed = f"{sheet.authority}, as in the rows above"
        _add(sheet.findings, place, message, authority, allowed)


def _check_size(sheet, file_name):
    size = len(cbor2.dumps([codec.to_map(row) for row in sheet.rows]))
    if size > ROWS_LIMIT_BYTES:
        found = f"{size} bytes when encoded"
        allowed = f"at most {ROWS_LIMIT_BYTES} bytes"
        _add(sheet.findings, file_name, "the sheet is too large", found, allowed)
