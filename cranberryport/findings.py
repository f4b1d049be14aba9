"""Findings of checks, collected with their location and reported together."""

import dataclasses
from typing import Literal


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Finding:
    """An error or warning of a check.

    Attributes
    ----------
    place : str
        Where it was found: file and line, row and column, or field.
    message : str
        What is wrong, or which of two conflicting values was used.
    found : str
        The value found; empty if a value is missing.
    allowed : str
        Description of the allowed values; empty if the message says enough.
    severity : {'error', 'warning'}
        Only findings of severity ``error`` make a check fail.
    """

    place: str
    message: str
    found: str = ""
    allowed: str = ""
    severity: Literal["error", "warning"] = "error"

    def __str__(self):
        """Return the finding as one line of text for a person."""
        text = f"{self.place}: {self.severity}: {self.message}"
        if self.found:
            text += f"; found {self.found!r}"
        if self.allowed:
            text += f"; allowed: {self.allowed}"
        return text


def has_errors(findings):
    """Return whether any finding is an error, which makes the check fail."""
    return any(finding.severity == "error" for finding in findings)
