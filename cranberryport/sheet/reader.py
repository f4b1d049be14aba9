"""Reads a sheet from a CSV file and checks it.

Operators edit sheets in a spreadsheet program. All problems of a file are reported
together, each with its row and column.
"""

import csv
import dataclasses
import io
import pathlib

import cbor2

from cranberryport import codec, findings
from cranberryport.generated import messages
from cranberryport.sheet import fields

FILE_LIMIT_BYTES = 1024 * 1024
# The log accepts appends of up to 1 MiB. 4 KiB are left for the publication's other
# fields, which need far less.
ROWS_LIMIT_BYTES = 1024 * 1024 - 4096


@dataclasses.dataclass(kw_only=True, slots=True)
class Sheet:
    """The owner's or the team's sheet as read from a file.

    Attributes
    ----------
    authority : str
        ``owner`` or ``team``; empty if no row has a valid authority.
    rows : list of messages.SheetRow
        The rows with the right number of columns.
    findings : list of findings.Finding
        All problems of the file.
    """

    authority: str
    rows: list[messages.SheetRow]
    findings: list[findings.Finding]


def read_rows(path):
    """Read and check a sheet; return its rows and the findings.

    Parameters
    ----------
    path : str or pathlib.Path
        CSV file with the owner's or the team's rows.

    Returns
    -------
    tuple of (list of messages.SheetRow, list of findings.Finding)
        The rows and the findings. Use the rows only if no finding is an error.
    """
    sheet = read_sheet(path)
    return sheet.rows, sheet.findings


def read_sheet(path):
    """Read and check a sheet.

    Parameters
    ----------
    path : str or pathlib.Path
        CSV file with the owner's or the team's rows.

    Returns
    -------
    Sheet
        The sheet. Use its rows only if no finding is an error.
    """
    sheet = Sheet(authority="", rows=[], findings=[])
    file_name = str(path)
    text = _read_text(path, file_name, sheet.findings)
    if text is None:
        return sheet
    records = _parse_records(text, file_name, sheet.findings)
    header = next(records, None)
    if header is None:
        _add_error(sheet.findings, file_name, "the file is empty", "", _header_text())
        return sheet
    columns = _check_header(header[1], file_name, sheet.findings)
    if columns is None:
        return sheet
    _read_rows(records, columns, file_name, sheet)
    if not sheet.rows and not findings.has_errors(sheet.findings):
        _add_error(
            sheet.findings, file_name, "the sheet has no rows", "", "one row or more"
        )
    _check_size(sheet, file_name)
    sheet.findings.extend(fields.check_rows(sheet.rows, file_name=file_name))
    return sheet


def _add_error(file_findings, place, message, found="", allowed=""):
    file_findings.append(
        findings.Finding(place=place, message=message, found=found, allowed=allowed)
    )


def _header_text():
    return "the header " + ",".join(fields.COLUMNS)


def _read_text(path, file_name, file_findings):
    """Return the text of a file, or None if it cannot be read or is too large."""
    try:
        with pathlib.Path(path).open("rb") as file:
            data = file.read(FILE_LIMIT_BYTES + 1)
    except OSError as error:
        _add_error(file_findings, file_name, f"cannot read the file: {error.strerror}")
        return None
    if len(data) > FILE_LIMIT_BYTES:
        limit = f"at most {FILE_LIMIT_BYTES} bytes"
        _add_error(file_findings, file_name, "the file is too large", allowed=limit)
        return None
    try:
        # Spreadsheet programs write a byte order mark at the start of a CSV file.
        return data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        _add_error(
            file_findings,
            f"{file_name}:line {line}",
            f"invalid UTF-8 at byte {error.start}",
            f"0x{data[error.start]:02x}",
            "UTF-8 text",
        )
        # Go on, so that the other problems of the file are reported as well.
        return data.decode("utf-8-sig", errors="replace")


def _parse_records(text, file_name, file_findings):
    """Yield the row number and the cells of each record that is not blank."""
    reader = csv.reader(io.StringIO(text, newline=""), strict=True)
    number = 0
    while True:
        try:
            cells = next(reader)
        except StopIteration:
            return
        except csv.Error as error:
            message = f"invalid CSV, the rest of the file is not read: {error}"
            _add_error(file_findings, f"{file_name}:row {number + 1}", message)
            return
        number += 1
        cells = [cell.strip() for cell in cells]
        # Spreadsheet programs write rows that were cleared as separators only.
        if any(cells):
            yield number, cells


def _check_header(header, file_name, file_findings):
    """Return the names of the columns in order, or None if the rows cannot be read.

    A header that has the right number of columns but wrong names is reported, and the
    rows are still read to find their problems.
    """
    if tuple(header) == fields.COLUMNS:
        return fields.COLUMNS
    found = ",".join(header)
    place = f"{file_name}:row 1"
    _add_error(file_findings, place, "invalid header", found, ",".join(fields.COLUMNS))
    if len(header) != len(fields.COLUMNS):
        return None
    is_reordered = sorted(header) == sorted(fields.COLUMNS)
    return tuple(header) if is_reordered else fields.COLUMNS


def _read_rows(records, columns, file_name, sheet):
    for number, values in records:
        if len(values) != len(columns):
            place = f"{file_name}:row {number}"
            found = f"{len(values)} columns"
            allowed = f"{len(columns)} columns: {','.join(fields.COLUMNS)}"
            _add_error(sheet.findings, place, "wrong number of columns", found, allowed)
            continue
        row = dict(zip(columns, values, strict=True))
        _check_authority(row.pop("authority"), number, file_name, sheet)
        sheet.rows.append(messages.SheetRow(row=number, **row))


def _check_authority(authority, number, file_name, sheet):
    place = fields.cell_place(number, "authority", file_name)
    if authority not in fields.AUTHORITIES:
        allowed = ", ".join(fields.AUTHORITIES)
        _add_error(sheet.findings, place, "unknown authority", authority, allowed)
    elif not sheet.authority:
        sheet.authority = authority
    elif authority != sheet.authority:
        message = "all rows of a file must have the same authority"
        allowed = f"{sheet.authority}, as in the rows above"
        _add_error(sheet.findings, place, message, authority, allowed)


def _check_size(sheet, file_name):
    size = len(cbor2.dumps([codec.to_map(row) for row in sheet.rows]))
    if size > ROWS_LIMIT_BYTES:
        found = f"{size} bytes when encoded"
        allowed = f"at most {ROWS_LIMIT_BYTES} bytes"
        _add_error(sheet.findings, file_name, "the sheet is too large", found, allowed)
