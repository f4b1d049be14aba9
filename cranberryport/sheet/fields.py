"""The table of the sheet's subjects, settings and allowed values."""

import dataclasses
import functools
import re

from cranberryport import findings

COLUMNS = ("authority", "subject", "name", "setting", "value", "note")
AUTHORITIES = ("owner", "team")
# Bounds a mistyped figure; no deployment in sight comes near it.
MAX_COUNT = 1_000_000
# The first part of a caller's path names the service, and ``/jobs`` is taken.
RESERVED_SERVICE_NAMES = frozenset({"jobs"})

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_NAME_ALLOWED = (
    "1 to 64 letters, digits, '.', '_' or '-', beginning with a letter or digit"
)
_CLOCK = re.compile(r"([01][0-9]|2[0-3]):[0-5][0-9]")
_PREFIX = re.compile(r"/|(/(?!\.{1,2}(/|$))[A-Za-z0-9._~!$&'()*+,;=:@-]+)+/?")


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class WholeNumber:
    """A whole number between two bounds, both included."""

    minimum: int = 0
    maximum: int = MAX_COUNT


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Choice:
    """One of some words, each with the value that it stands for."""

    values: dict


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Name:
    """The name of a pool."""


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class ServiceName:
    """The name of a service."""


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class NameList:
    """Names separated by blanks, at least one and none twice."""


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class PathPrefixList:
    """Path prefixes separated by blanks, or nothing."""


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class TimeOfDay:
    """A local time of day."""


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
    """Return the text that tells a person the allowed values of a type."""
    raise TypeError(f"no rule for {type(value_type).__name__}")


@functools.singledispatch
def parse_value(value_type, text):
    """Return the value for a cell's text.

    Parameters
    ----------
    value_type : WholeNumber, Choice or another type of this module
        One of the entries of :data:`SETTINGS`.
    text : str
        The cell without surrounding blanks.

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
    # int() alone would also take '1_0', ' 5' and digits of other scripts.
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
    if not all(_PREFIX.fullmatch(prefix) for prefix in prefixes):
        raise ValueError(text)
    return prefixes


@describe_allowed.register
def _(value_type: TimeOfDay):
    return "a time from 00:00 to 23:59 as HH:MM"


@parse_value.register
def _(value_type: TimeOfDay, text):
    if not _CLOCK.fullmatch(text):
        raise ValueError(text)
    return text


def cell_place(row_number, column, file_name=""):
    """Return the place of a cell for a finding."""
    prefix = f"{file_name}:" if file_name else ""
    return f"{prefix}row {row_number}, column {column}"


def _check_name(row, file_name):
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
        File for the places; empty for rows that come from a record.

    Returns
    -------
    list of findings.Finding
        Errors, and a warning for each row that overrides an earlier one.
    """
    result = []
    earlier = {}
    for row in rows:
        result.extend(_check_name(row, file_name))
        result.extend(_check_setting(row, file_name))
        key = (row.subject, row.name, row.setting)
        previous = earlier.get(key)
        if previous is not None and previous.value != row.value:
            result.append(
                findings.Finding(
                    place=cell_place(row.row, "value", file_name),
                    message=f"rows {previous.row} and {row.row} disagree on "
                    f"{row.setting} of {row.subject} {row.name}; row {row.row} "
                    "applies, the one further down",
                    found=f"{previous.value} and {row.value}",
                    severity="warning",
                )
            )
        earlier[key] = row
    return result
