"""Checks and loads the TOML settings file of an entry instance.

Operators get every problem of a file with its line from :func:`check_file`, which uses
the validator ``jsonschema``. The daemon calls :func:`load_file`, which makes the same
checks without the validator to save memory, and only runs it on a file with errors.
"""

import ipaddress
import json
import math
import pathlib
import re
import tomllib

import msgspec

from cranberryport import findings
from cranberryport.generated import settings as generated
from cranberryport.sheet import signing

MIN_PUBLISHER_KEY_BYTES = 32
_SCHEMA_PATH = pathlib.Path(generated.__file__).with_name("settings.json")
_TABLE_HEADER = re.compile(r"\s*\[(\[?)\s*([^\[\]]+?)\s*\]")
_KEY_ASSIGNMENT = re.compile(r"""\s*([A-Za-z0-9_."'-]+)\s*=""")
# Keywords of JSON Schema, with the check of a value against each.
_BOUND_CHECKS = {
    "minimum": lambda value, bound: value >= bound,
    "exclusiveMinimum": lambda value, bound: value > bound,
    "maximum": lambda value, bound: value <= bound,
    "minLength": lambda value, bound: len(value) >= bound,
    "pattern": lambda value, bound: re.search(bound, value) is not None,
}


class SettingsError(ValueError):
    """A settings file has errors.

    Parameters
    ----------
    file_findings : list of findings.Finding
        Everything that the check found in the file.
    """

    def __init__(self, file_findings):
        super().__init__("\n".join(str(finding) for finding in file_findings))
        self.findings = file_findings


def check_file(path):
    """Check a settings file.

    Parameters
    ----------
    path : str or pathlib.Path
        TOML file.

    Returns
    -------
    list of findings.Finding
        All problems of the file, each with its line number.
    """
    text, data, file_findings = _parse(path)
    if data is None:
        return file_findings
    # Imported here because it takes about 6 MB of resident memory, which a daemon with
    # valid settings does not need.
    import jsonschema

    schema = json.loads(_SCHEMA_PATH.read_text())
    type_checker = jsonschema.Draft202012Validator.TYPE_CHECKER.redefine(
        # JSON Schema accepts 5.0 as an integer; TOML and the generated classes do not.
        "integer",
        lambda _, value: isinstance(value, int) and not isinstance(value, bool),
    )
    validator_type = jsonschema.validators.extend(
        jsonschema.Draft202012Validator, type_checker=type_checker
    )
    for error in validator_type(schema).iter_errors(data):
        file_findings.extend(_schema_findings(error, path, text))
    file_findings.extend(_content_findings(data, path, text))
    # jsonschema gives one error for each missing key but does not name the key, so
    # _schema_findings reports all missing keys for each of these errors.
    unique = dict.fromkeys(file_findings)
    return sorted(unique, key=lambda finding: _line_number(finding.place))


def load_file(path):
    """Load a settings file.

    Parameters
    ----------
    path : str or pathlib.Path
        TOML file.

    Returns
    -------
    generated.settings.Settings
        The settings, with defaults for keys that are not in the file and absolute paths
        for ``key_file``.

    Raises
    ------
    SettingsError
        If :func:`check_file` finds an error.
    """
    text, data, file_findings = _parse(path)
    if data is None:
        raise SettingsError(file_findings)
    schema = json.loads(_SCHEMA_PATH.read_text())
    loaded = _convert(data, schema)
    if loaded is None or _content_findings(data, path, text):
        raise SettingsError(check_file(path))
    for publisher in loaded.publishers:
        publisher.key_file = str(_resolve_key_file(publisher.key_file, path))
    return loaded


def load_publishers(loaded):
    """Read the publishers' key files and return the publishers with their keys.

    Parameters
    ----------
    loaded : generated.settings.Settings
        Result of :func:`load_file`.

    Returns
    -------
    dict of str to signing.Publisher
        Publishers by name.

    Raises
    ------
    ValueError
        If a key file cannot be read or has no valid key.
    """
    return {
        publisher.name: signing.Publisher(
            name=publisher.name,
            authority=publisher.authority,
            key=read_publisher_key(publisher.key_file),
        )
        for publisher in loaded.publishers
    }


def read_publisher_key(path):
    """Read a publisher's secret key, which signs its sheets.

    Parameters
    ----------
    path : str or pathlib.Path
        File with the key in hexadecimal digits.

    Returns
    -------
    bytes
        The key.

    Raises
    ------
    ValueError
        If the file cannot be read or has no valid key. The message never includes the
        content of the file, because that may be a secret.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="ascii")
    except OSError as error:
        raise ValueError(f"cannot read the key file: {error.strerror}") from None
    except UnicodeDecodeError:
        raise ValueError(
            "the key file has characters other than hexadecimal digits"
        ) from None
    try:
        key = bytes.fromhex(text)
    except ValueError:
        raise ValueError(
            "the key file has characters other than hexadecimal digits"
        ) from None
    if len(key) < MIN_PUBLISHER_KEY_BYTES:
        raise ValueError(
            f"the key has {len(key)} bytes; allowed: {MIN_PUBLISHER_KEY_BYTES} or more"
        )
    return key


def find_line_number(text, key_path):
    """Return the line of a key, or of the innermost enclosing table that has a line.

    The TOML parser of the standard library keeps no line numbers.

    Parameters
    ----------
    text : str
        TOML text.
    key_path : sequence of str or int
        Names of the tables and the key, with an index for each array of tables.

    Returns
    -------
    int
        Line number, counted from 1; 1 if nothing on the path has a line.
    """
    lines = {}
    last_indices = {}
    table = ()
    for number, line in enumerate(text.splitlines(), 1):
        header = _TABLE_HEADER.match(line)
        key = _KEY_ASSIGNMENT.match(line)
        if header:
            table = _split_key(header[2])
            if header[1]:
                last_indices[table] = last_indices.get(table, -1) + 1
                table = (*table, last_indices[table])
            lines.setdefault(table, number)
        elif key:
            parts = _split_key(key[1])
            for end in range(1, len(parts) + 1):
                lines.setdefault((*table, *parts[:end]), number)
    key_path = tuple(key_path)
    while key_path and key_path not in lines:
        key_path = key_path[:-1]
    return lines.get(key_path, 1)


def _split_key(text):
    """Return the parts of a dotted TOML key without their quotes."""
    return tuple(part.strip().strip("\"'") for part in text.split("."))


def _line_number(place):
    """Return the line number at the end of a finding's place, 0 if it has none."""
    return int(place.rsplit(":", 1)[1]) if place.rsplit(":", 1)[-1].isdecimal() else 0


def _parse(path):
    """Return the text, the parsed data (None if it has errors) and the findings."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        message = f"cannot read the file: {error.strerror}"
        return "", None, [findings.Finding(place=str(path), message=message)]
    except UnicodeDecodeError as error:
        message = f"invalid UTF-8 at byte {error.start}"
        return "", None, [findings.Finding(place=str(path), message=message)]
    try:
        return text, tomllib.loads(text), []
    except tomllib.TOMLDecodeError as error:
        # The exception has the line number only in its message.
        match = re.search(r"at line (\d+)", str(error))
        line = match[1] if match else max(1, len(text.splitlines()))
        message = f"invalid TOML: {error}"
        return text, None, [findings.Finding(place=f"{path}:{line}", message=message)]


def _format_key_path(key_path):
    return ".".join(str(part) for part in key_path) or "the file"


def _make_finding(path, text, key_path, message, found="", allowed=""):
    place = f"{path}:{find_line_number(text, key_path)}"
    return findings.Finding(place=place, message=message, found=found, allowed=allowed)


def _schema_findings(error, path, text):
    """Yield the findings for an error of the validator."""
    key_path = tuple(error.absolute_path)
    if error.validator == "required":
        for name in error.validator_value:
            if name not in error.instance:
                allowed = _describe_allowed(error.schema["properties"][name])
                message = f"{_format_key_path((*key_path, name))} is missing"
                yield _make_finding(path, text, key_path, message, allowed=allowed)
    elif error.validator == "additionalProperties":
        valid = error.schema["properties"]
        for name in error.instance:
            if name not in valid:
                message = f"unknown key in {_format_key_path(key_path)}"
                allowed = ", ".join(valid)
                yield _make_finding(
                    path, text, (*key_path, name), message, name, allowed
                )
    else:
        found = "" if isinstance(error.instance, dict | list) else str(error.instance)
        message = f"invalid value of {_format_key_path(key_path)}"
        allowed = _describe_allowed(error.schema)
        if key_path[-1:] == ("key_file",):
            # An operator may have entered the secret key in place of the file name.
            found = ""
        yield _make_finding(path, text, key_path, message, found, allowed)


def _describe_allowed(schema):
    """Return a description of the values that a schema allows."""
    if "enum" in schema:
        return ", ".join(schema["enum"])
    type_texts = {
        "integer": "a whole number",
        "number": "a number",
        "string": "a string",
    }
    type_texts |= {"array": "an array of tables"}
    text = type_texts.get(schema.get("type"), "a table")
    bound_texts = {"minimum": "from", "exclusiveMinimum": "above", "maximum": "to"}
    bound_texts |= {"minLength": "of at least this length:", "pattern": "that matches"}
    for keyword, bound_text in bound_texts.items():
        if keyword in schema:
            text += f" {bound_text} {schema[keyword]}"
    return text


def _iterate_tables(data):
    """Yield the key path and the table for the top level and each table in it."""
    yield (), data
    for name, value in data.items():
        if isinstance(value, dict):
            yield (name,), value
        elif isinstance(value, list):
            for index, item in enumerate(value):
                if isinstance(item, dict):
                    yield (name, index), item


def _content_findings(data, path, text):
    """Return findings on rules that the schema cannot express."""
    content_findings = []
    publisher_names = set()
    for key_path, table in _iterate_tables(data):
        for name, value in table.items():
            if isinstance(value, float) and not math.isfinite(value):
                message = f"invalid value of {_format_key_path((*key_path, name))}"
                found, allowed = str(value), "a finite number"
                place = (*key_path, name)
                content_findings.append(
                    _make_finding(path, text, place, message, found, allowed)
                )
        if key_path and isinstance(table.get("host"), str):
            content_findings.extend(_check_host(key_path, table["host"], path, text))
        if key_path[:1] == ("publishers",):
            content_findings.extend(
                _check_publisher(key_path, table, publisher_names, path, text)
            )
    return content_findings


def _check_host(table_path, host, path, text):
    """Yield findings on the ``host`` of a table."""
    key_path = (*table_path, "host")
    allowed = "an IPv4 or IPv6 address such as 10.0.0.1 or ::1"
    try:
        address = ipaddress.ip_address(host)
    except ValueError:
        yield _make_finding(
            path,
            text,
            key_path,
            f"invalid value of {_format_key_path(key_path)}",
            host,
            allowed,
        )
        return
    # ``listen`` may be 0.0.0.0 or :: to accept callers on all addresses of the machine.
    # The other tables give addresses that processes connect to.
    if address.is_unspecified and table_path != ("listen",):
        message = f"{_format_key_path(key_path)} is not an address to connect to"
        yield _make_finding(path, text, key_path, message, host, allowed)


def _check_publisher(table_path, table, publisher_names, path, text):
    """Yield findings on a publisher; add its name to ``publisher_names``."""
    name = table.get("name")
    if isinstance(name, str):
        if name in publisher_names:
            message = "two publishers have the same name"
            allowed = "a different name for each publisher"
            yield _make_finding(
                path, text, (*table_path, "name"), message, name, allowed
            )
        publisher_names.add(name)
    key_file = table.get("key_file")
    if isinstance(key_file, str):
        try:
            read_publisher_key(_resolve_key_file(key_file, path))
        except ValueError as error:
            key_path = (*table_path, "key_file")
            message = f"{_format_key_path(key_path)}: {error}"
            allowed = f"{MIN_PUBLISHER_KEY_BYTES} bytes or more in hexadecimal digits"
            yield _make_finding(path, text, key_path, message, allowed=allowed)


def _resolve_key_file(key_file, path):
    """Return the path of a key file that is relative to the settings file."""
    return pathlib.Path(path).resolve().parent / key_file


def _convert(data, schema):
    """Return the settings, or None if the data do not match the schema."""
    try:
        loaded = msgspec.convert(data, generated.Settings)
    except msgspec.ValidationError:
        return None
    # Conversion drops unknown keys without an error, so compare with the result.
    if not _contains(msgspec.to_builtins(loaded), data):
        return None
    return loaded if _is_within_bounds(data, schema, schema["$defs"]) else None


def _contains(value, subset):
    """Return whether a value has all keys of a subset, with the same values."""
    if isinstance(subset, dict):
        return all(
            key in value and _contains(value[key], subset[key]) for key in subset
        )
    if isinstance(subset, list):
        return all(map(_contains, value, subset))
    return value == subset


def _is_within_bounds(value, schema, definitions):
    if "$ref" in schema:
        schema = definitions[schema["$ref"].rsplit("/", 1)[1]]
    if isinstance(value, dict):
        properties = schema["properties"]
        return all(
            _is_within_bounds(item, properties[name], definitions)
            for name, item in value.items()
        )
    if isinstance(value, list):
        return all(
            _is_within_bounds(item, schema["items"], definitions) for item in value
        )
    return all(
        is_kept(value, schema[keyword])
        for keyword, is_kept in _BOUND_CHECKS.items()
        if keyword in schema
    )
