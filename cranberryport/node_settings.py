"""Loads and checks the settings of an entry instance on the users' platform."""

import pathlib
import tomllib

import msgspec

from cranberryport.generated import node_settings as generated
from cranberryport.http import addresses


class SettingsError(ValueError):
    """Settings that cannot be used; the text names the file and what is wrong."""


def load(path):
    """Load a settings file; unknown keys are ignored.

    Parameters
    ----------
    path : str or pathlib.Path
        TOML file.

    Returns
    -------
    cranberryport.generated.node_settings.NodeSettings
        The settings, with defaults for missing keys.

    Raises
    ------
    SettingsError
        If the file cannot be read, or a value is missing, of a wrong type or not an
        address.
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


def parse_address(text, setting):
    """Return host and port of an address.

    Parameters
    ----------
    text : str
        Address as ``host:port``.
    setting : str
        Name of the setting, for the error message.

    Returns
    -------
    tuple of (str, int)
        Host and port.

    Raises
    ------
    SettingsError
        If the text does not have the form ``host:port`` with an IPv4 address.
    """
    try:
        return addresses.parse(text)
    except ValueError as error:
        raise SettingsError(f"{setting}: {error}") from error
