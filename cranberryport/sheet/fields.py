"""Defines the settings that a sheet may have and checks its rows against them.

A row sets one ``setting`` of one named ``subject``, such as the quota of a desk.
:data:`SETTINGS` gives the type of each setting. Rows are checked before a sheet is
published and again by each entry instance that reads it from the log.
"""

import dataclasses
import functools
import re

from cranberryport import findings

COLUMNS = ("authority", "subject", "name", "setting", "value", "note")
AUTHORITIES = ("owner", "team")
# Far above the counts of any deployment, so that a larger number is a typing error.
MAX_COUNT = 1_000_000
# The first segment of a request's path names the service; ``/jobs`` is the jobs API.
RESERVED_SERVICE_NAMES = frozenset({"jobs"})

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_NAME_ALLOWED = (
    "1 to 64 letters, digits, '.', '_' or '-', beginning with a letter or digit"
)
_TIME_OF_DAY = re.compile(r"([01][0-9]|2[0-3]):[0-5][0-9]")
_PATH_PREFIX = re.compile(r"/|(/(?!\.{1,2}(/|$))[A-Za-z0-9._~!$&'()*+,;=:@-]+)+/?")


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class WholeNumber:
    """A whole number from ``minimum`` to ``maximum``, both included."""

    minimum: int = 0
    maximum: int = MAX_COUNT


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Choice:
    """One of a fixed set of words.

    Attributes
    ----------
    values : dict
        Maps each word to the value that it is parsed to.
    """

    values: dict


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Name:
    """The name of a pool, an instance, a desk or a wave."""


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class ServiceName:
    """The name of a service."""


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class NameList:
    """Names separated by spaces, at least one and none twice."""


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class PathPrefixList:
    """Path prefixes separated by spaces; may be empty."""


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class TimeOfDay:
    """A local time of day as HH:MM."""


# Types of the settings, by subject and setting.
SETTINGS = {
    "pool": {
        "service": ServiceName(),
        "max_unavailable": WholeNumber(),
        "spare": Choice(values={"yes": True, "no": False}),
        "target_instances": WholeNumber(),
    },
    "instance": {
        "pool": Name(),
        "maintenance": Choice(values={"reboot": "reboot", "none": "none"}),
    },
    "desk": {
        "weight": WholeNumber(minimum=1, maximum=100),
        "class": Choice(
            values={name: name for name in ("rush", "interactive", "batch")}
        ),
        "quota": WholeNumber(),
    },
    "service": {
        "slots_per_instance": WholeNumber(minimum=1),
        "connections": WholeNumber(minimum=1),
        "at_most_once": PathPrefixList(),
        "reserved_rush_percent": WholeNumber(maximum=90),
    },
    "wave": {"order": NameList(), "not_before": TimeOfDay(), "not_after": TimeOfDay()},
}


@functools.singledispatch
def describe_allowed(value_type):
    """Return a description of the allowed values of a type, for messages."""
    raise TypeError(f"no rule for {type(value_type).__name__}")


@functools.singledispatch
def parse_value(value_type, text):
    """Return the value of a cell.

    Parameters
    ----------
    value_type : WholeNumber, Choice or another type of this module
        One of the entries of :data:`SETTINGS`.
    text : str
        The cell's text without leading and trailing white space.

    Returns
    -------
    int, bool, str or tuple of str
        The value.

    Raises
    ------
    ValueError
        If the text is not allowed.
    """
    raise TypeError(f"no rule for {type(value_type).__name__}")


@describe_allowed.register
def _(value_type: WholeNumber):
    return f"a whole number from {value_type.minimum} to {value_type.maximum}"


@parse_value.register
def _(value_type: WholeNumber, text):
    # int() would also accept '1_0', ' 5' and non-ASCII digits.
    if not (text.isascii() and text.isdecimal() and len(text) <= 9):
        raise ValueError(text)
    number = int(text)
    if not value_type.minimum <= number <= value_type.maximum:
        raise ValueError(text)
    return number


@describe_allowed.register
def _(value_type: Choice):
    return ", ".join(value_type.values)


@parse_value.register
def _(value_type: Choice, text):
    if text not in value_type.values:
        raise ValueError(text)
    return value_type.values[text]


@describe_allowed.register
def _(value_type: Name):
    return _NAME_ALLOWED


@parse_value.register
def _(value_type: Name, text):
    if not _NAME.fullmatch(text):
        raise ValueError(text)
    return text


@describe_allowed.register
def _(value_type: ServiceName):
    return f"{_NAME_ALLOWED}; not {', '.join(sorted(RESERVED_SERVICE_NAMES))}"


@parse_value.register
def _(value_type: ServiceName, text):
    if text in RESERVED_SERVICE_NAMES or not _NAME.fullmatch(text):
        raise ValueError(text)
    return text


@describe_allowed.register
def _(value_type: NameList):
    return f"names separated by blanks, none twice, each {_NAME_ALLOWED}"


@parse_value.register
def _(value_type: NameList, text):
    names = tuple(text.split())
    if not names or len(set(names)) < len(names):
        raise ValueError(text)
    if not all(_NAME.fullmatch(name) for name in names):
        raise ValueError(text)
    return names


@describe_allowed.register
def _(value_type: PathPrefixList):
    return (
        "nothing, or path prefixes separated by blanks, such as '/orders /charges', "
        "without '//', '/./', '/../', '%', '?' and '#'"
    )


@parse_value.register
def _(value_type: PathPrefixList, text):
    prefixes = tuple(text.split())
    if not all(_PATH_PREFIX.fullmatch(prefix) for prefix in prefixes):
        raise ValueError(text)
    return prefixes


@describe_allowed.register
def _(value_type: TimeOfDay):
    return "a time from 00:00 to 23:59 as HH:MM"


@parse_value.register
def _(value_type: TimeOfDay, text):
    if not _TIME_OF_DAY.fullmatch(text):
        raise ValueError(text)
    return text


def cell_place(row_number, column, file_name=""):
    """Return the position of a cell as text for :class:`findings.Finding`."""
    prefix = f"{file_name}:" if file_name else ""
    return f"{prefix}row {row_number}, column {column}"


def _check_name(row, file_name):
    """Yield a finding if the row's name is not allowed."""
    value_type = ServiceName() if row.subject == "service" else Name()
    try:
        parse_value(value_type, row.name)
    except ValueError:
        yield findings.Finding(
            place=cell_place(row.row, "name", file_name),
            message=f"not a name for a {row.subject or 'subject'}",
            found=row.name,
            allowed=describe_allowed(value_type),
        )


def _check_setting(row, file_name):
    """Yield a finding if the row's subject, setting or value is not allowed."""
    settings = SETTINGS.get(row.subject)
    if settings is None:
        yield findings.Finding(
            place=cell_place(row.row, "subject", file_name),
            message="unknown subject",
            found=row.subject,
            allowed=", ".join(SETTINGS),
        )
        return
    value_type = settings.get(row.setting)
    if value_type is None:
        yield findings.Finding(
            place=cell_place(row.row, "setting", file_name),
            message=f"unknown setting of a {row.subject}",
            found=row.setting,
            allowed=", ".join(settings),
        )
        return
    try:
        parse_value(value_type, row.value)
    except ValueError:
        yield findings.Finding(
            place=cell_place(row.row, "value", file_name),
            message=f"bad value for {row.setting} of {row.subject} {row.name}",
            found=row.value,
            allowed=describe_allowed(value_type),
        )


def check_rows(rows, *, file_name=""):
    """Check the rows of one authority's sheet.

    Parameters
    ----------
    rows : list of messages.SheetRow
        The rows in the order of the file.
    file_name : str
        File that the rows were read from; empty for rows from the log.

    Returns
    -------
    list of findings.Finding
        Errors, and a warning for each row that gives a setting another value than an
        earlier row.
    """
    row_findings = []
    earlier_rows = {}
    for row in rows:
        row_findings.extend(_check_name(row, file_name))
        row_findings.extend(_check_setting(row, file_name))
        key = (row.subject, row.name, row.setting)
        previous = earlier_rows.get(key)
        if previous is not None and previous.value != row.value:
            row_findings.append(
                findings.Finding(
                    place=cell_place(row.row, "value", file_name),
                    message=f"rows {previous.row} and {row.row} disagree on "
                    f"{row.setting} of {row.subject} {row.name}; row {row.row} "
                    "applies because it comes later",
                    found=f"{previous.value} and {row.value}",
                    severity="warning",
                )
            )
        earlier_rows[key] = row
    return row_findings
