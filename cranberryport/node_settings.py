"""Loading the settings of an entry instance on the users' platform."""

import pathlib
import tomllib

import msgspec

from cranberryport.generated import node_settings as generated


class SettingsError(ValueError):
    """Settings that cannot be used; the text names the place and what is allowed."""


def load(path):
    """Load a settings file; keys that are not known are ignored.

    Parameters
    ----------
    path : str or pathlib.Path
        TOML file.

    Returns
    -------
    generated.node_settings.NodeSettings
        With the defaults filled in.

    Raises
    ------
    SettingsError
        If the file cannot be read or a value is missing or has a wrong type.
    """
    try:
        data = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
        loaded = msgspec.convert(data, generated.NodeSettings)
    except (OSError, ValueError, msgspec.ValidationError) as error:
        raise SettingsError(f"{path}: {error}") from error
    for name in ("front", "readiness", "store"):
        parse_address(getattr(loaded, name), f"{path}: {name}")
    for name in ("cloud", "advice"):
        if getattr(loaded, name):
            parse_address(getattr(loaded, name), f"{path}: {name}")
    return loaded


def parse_address(text, place):
    """Return host and port of an address.

    Raises
    ------
    SettingsError
        If the text has another form.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise SettingsError(f"{place} is {text!r}; allowed: host:port")
    return host, int(port)
