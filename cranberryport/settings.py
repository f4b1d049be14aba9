"""Checking and loading the settings of an entry instance."""

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
_SCHEMA = pathlib.Path(generated.__file__).with_name("settings.json")
_HEADER = re.compile(r"\s*\[(\[?)\s*([^\[\]]+?)\s*\]")
_KEY = re.compile(r"""\s*([A-Za-z0-9_."'-]+)\s*=""")
_BOUNDS = {
    "minimum": lambda value, bound: value >= bound,
    "exclusiveMinimum": lambda value, bound: value > bound,
    "maximum": lambda value, bound: value <= bound,
    "minLength": lambda value, bound: len(value) >= bound,
    "pattern": lambda value, bound: re.search(bound, value) is not None,
}


class SettingsError(ValueError):
    """Settings that cannot be used.

    Parameters
    ----------
    result : list of findings.Finding
        All that the check found.
    """

    def __init__(self, result):
        super().__init__("\n".join(str(finding) for finding in result))
        self.findings = result


def check_file(path):
    """Check a settings file.

    Parameters
    ----------
    path : str or pathlib.Path
        TOML file.

    Returns
    -------
    list of findings.Finding
        Everything found, with file and line.
    """
    text, data, result = _parse(path)
    if data is None:
        return result
    # Costs about 6 MB of resident memory, which a daemon with good settings saves.
    import jsonschema

    schema = json.loads(_SCHEMA.read_text())
    whole = jsonschema.Draft202012Validator.TYPE_CHECKER.redefine(
        # JSON has 5.0 as an integer; TOML and the generated classes do not.
        "integer",
        lambda _, value: isinstance(value, int) and not isinstance(value, bool),
    )
    validator_type = jsonschema.validators.extend(
        jsonschema.Draft202012Validator, type_checker=whole
    )
    for error in validator_type(schema).iter_errors(data):
        result.extend(_schema_findings(error, path, text))
    result.extend(_content_findings(data, path, text))
    # jsonschema gives one error for each missing key and none says which, so each of
    # them yields all missing keys.
    unique = dict.fromkeys(result)
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
        With the defaults filled in and ``key_file`` as an absolute path.

    Raises
    ------
    SettingsError
        If :func:`check_file` finds an error.
    """
    text, data, result = _parse(path)
    if data is None:
        raise SettingsError(result)
    schema = json.loads(_SCHEMA.read_text())
    loaded = _convert(data, schema)
    if loaded is None or _content_findings(data, path, text):
        raise SettingsError(check_file(path))
    for publisher in loaded.publishers:
        publisher.key_file = str(_key_path(publisher.key_file, path))
    return loaded


def load_publishers(loaded):
    """Return the publishers with their keys.

    Parameters
    ----------
    loaded : generated.settings.Settings
        Result of :func:`load_file`.

    Returns
    -------
    dict of str to signing.Publisher
        By name.
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
    """Read a publisher's key.

    Parameters
    ----------
    path : str or pathlib.Path
        File with hexadecimal digits.

    Returns
    -------
    bytes
        The key.

    Raises
    ------
    ValueError
        If there is no good key; the text never holds what the file holds.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="ascii")
    except OSError as error:
        raise ValueError(f"cannot read the key file: {error.strerror}") from None
    except UnicodeDecodeError:
        raise ValueError("the key file holds other than hexadecimal digits") from None
    try:
        key = bytes.fromhex(text)
    except ValueError:
        raise ValueError("the key file holds other than hexadecimal digits") from None
    if len(key) < MIN_PUBLISHER_KEY_BYTES:
        raise ValueError(
            f"the key has {len(key)} bytes; allowed: {MIN_PUBLISHER_KEY_BYTES} or more"
        )
    return key


def find_line_number(text, path):
    """Return the line of a key, or of the nearest table around it.

    Parameters
    ----------
    text : str
        TOML text.
    path : sequence of str or int
        Keys, and positions in arrays of tables.

    Returns
    -------
    int
        Line number from 1.
    """
    lines = {}
    counts = {}
    table = ()
    for number, line in enumerate(text.splitlines(), 1):
        header = _HEADER.match(line)
        key = _KEY.match(line)
        if header:
            table = _split_key(header[2])
            if header[1]:
                counts[table] = counts.get(table, -1) + 1
                table = (*table, counts[table])
            lines.setdefault(table, number)
        elif key:
            parts = _split_key(key[1])
            for end in range(1, len(parts) + 1):
                lines.setdefault((*table, *parts[:end]), number)
    path = tuple(path)
    while path and path not in lines:
        path = path[:-1]
    return lines.get(path, 1)


def _split_key(text):
    return tuple(part.strip().strip("\"'") for part in text.split("."))


def _line_number(place):
    return int(place.rsplit(":", 1)[1]) if place.rsplit(":", 1)[-1].isdecimal() else 0


def _parse(path):
    """Return the text, the data (None if unreadable) and findings."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        message = f"cannot read the file: {error.strerror}"
        return "", None, [findings.Finding(place=str(path), message=message)]
    except UnicodeDecodeError as error:
        message = f"not UTF-8 at byte {error.start}"
        return "", None, [findings.Finding(place=str(path), message=message)]
    try:
        return text, tomllib.loads(text), []
    except tomllib.TOMLDecodeError as error:
        # The exception gives the line in its text only.
        match = re.search(r"at line (\d+)", str(error))
        line = match[1] if match else max(1, len(text.splitlines()))
        message = f"not TOML: {error}"
        return text, None, [findings.Finding(place=f"{path}:{line}", message=message)]


def _dotted(path):
    return ".".join(str(part) for part in path) or "the file"


def _finding(path, text, keys, message, found="", allowed=""):
    place = f"{path}:{find_line_number(text, keys)}"
    return findings.Finding(place=place, message=message, found=found, allowed=allowed)


def _schema_findings(error, path, text):
    keys = tuple(error.absolute_path)
    if error.validator == "required":
        for name in error.validator_value:
            if name not in error.instance:
                allowed = _allowed(error.schema["properties"][name])
                message = f"{_dotted((*keys, name))} is missing"
                yield _finding(path, text, keys, message, allowed=allowed)
    elif error.validator == "additionalProperties":
        valid = error.schema["properties"]
        for name in error.instance:
            if name not in valid:
                message = f"unknown key in {_dotted(keys)}"
                allowed = ", ".join(valid)
                yield _finding(path, text, (*keys, name), message, name, allowed)
    else:
        found = "" if isinstance(error.instance, dict | list) else str(error.instance)
        message = f"bad value of {_dotted(keys)}"
        allowed = _allowed(error.schema)
        if keys[-1:] == ("key_file",):
            # Somebody may have written the key where its file belongs.
            found = ""
        yield _finding(path, text, keys, message, found, allowed)


def _allowed(schema):
    """Return a text for the values that a schema allows."""
    if "enum" in schema:
        return ", ".join(schema["enum"])
    words = {"integer": "a whole number", "number": "a number", "string": "a text"}
    words |= {"array": "an array of tables"}
    text = words.get(schema.get("type"), "a table")
    bounds = {"minimum": "from", "exclusiveMinimum": "above", "maximum": "to"}
    bounds |= {"minLength": "of at least this length:", "pattern": "that matches"}
    for keyword, word in bounds.items():
        if keyword in schema:
            text += f" {word} {schema[keyword]}"
    return text


def _tables(data):
    """Yield path and table for every table, outermost first."""
    yield (), data
    for name, value in data.items():
        if isinstance(value, dict):
            yield (name,), value
        elif isinstance(value, list):
            for index, item in enumerate(value):
                if isinstance(item, dict):
                    yield (name, index), item


def _content_findings(data, path, text):
    """Return the findings that the schema cannot express."""
    result = []
    names = set()
    for keys, table in _tables(data):
        for name, value in table.items():
            if isinstance(value, float) and not math.isfinite(value):
                message = f"bad value of {_dotted((*keys, name))}"
                found, allowed = str(value), "a finite number"
                place = (*keys, name)
                result.append(_finding(path, text, place, message, found, allowed))
        if keys and isinstance(table.get("host"), str):
            result.extend(_check_host(keys, table["host"], path, text))
        if keys[:1] == ("publishers",):
            result.extend(_check_publisher(keys, table, names, path, text))
    return result


def _check_host(keys, host, path, text):
    place = (*keys, "host")
    allowed = "an IPv4 or IPv6 number such as 10.0.0.1 or ::1"
    try:
        address = ipaddress.ip_address(host)
    except ValueError:
        yield _finding(
            path, text, place, f"bad value of {_dotted(place)}", host, allowed
        )
        return
    # Other processes connect to these addresses; only callers may reach all of ours.
    if address.is_unspecified and keys != ("listen",):
        message = f"{_dotted(place)} is no address to connect to"
        yield _finding(path, text, place, message, host, allowed)


def _check_publisher(keys, table, names, path, text):
    name = table.get("name")
    if isinstance(name, str):
        if name in names:
            message = "two publishers have the same name"
            allowed = "a name for each"
            yield _finding(path, text, (*keys, "name"), message, name, allowed)
        names.add(name)
    key_file = table.get("key_file")
    if isinstance(key_file, str):
        try:
            read_publisher_key(_key_path(key_file, path))
        except ValueError as error:
            place = (*keys, "key_file")
            message = f"{_dotted(place)}: {error}"
            allowed = f"{MIN_PUBLISHER_KEY_BYTES} bytes or more in hexadecimal digits"
            yield _finding(path, text, place, message, allowed=allowed)


def _key_path(key_file, path):
    return pathlib.Path(path).resolve().parent / key_file


def _convert(data, schema):
    """Return the settings, None if they have any error in the schema's sense."""
    try:
        loaded = msgspec.convert(data, generated.Settings)
    except msgspec.ValidationError:
        return None
    # Conversion drops unknown keys, so all that was given must come out again.
    if not _contains(msgspec.to_builtins(loaded), data):
        return None
    return loaded if _within_bounds(data, schema, schema["$defs"]) else None


def _contains(whole, part):
    if isinstance(part, dict):
        return all(key in whole and _contains(whole[key], part[key]) for key in part)
    if isinstance(part, list):
        return all(map(_contains, whole, part))
    return whole == part


def _within_bounds(value, schema, definitions):
    if "$ref" in schema:
        schema = definitions[schema["$ref"].rsplit("/", 1)[1]]
    if isinstance(value, dict):
        properties = schema["properties"]
        return all(
            _within_bounds(item, properties[name], definitions)
            for name, item in value.items()
        )
    if isinstance(value, list):
        return all(_within_bounds(item, schema["items"], definitions) for item in value)
    return all(
        holds(value, schema[keyword])
        for keyword, holds in _BOUNDS.items()
        if keyword in schema
    )
