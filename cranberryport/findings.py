"""Findings of checks, collected with their place and reported together."""

import dataclasses
from typing import Literal


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class Finding:
    """One thing that a check found.

    Attributes
    ----------
    place : str
        File with line, or row and column.
    message : str
        What is wrong, or what was settled.
    found : str
        The value found; empty if a value is missing.
    allowed : str
        The values allowed; empty if any other value would do.
    severity : {'error', 'warning'}
        Only errors make a check fail.
    """

    place: str
    message: str
    found: str = ""
    allowed: str = ""
    severity: Literal["error", "warning"] = "error"

    def __str__(self):
        """Return one line for a person."""
        text = f"{self.place}: {self.severity}: {self.message}"
        if self.found:
            text += f"; found {self.found!r}"
        if self.allowed:
            text += f"; allowed: {self.allowed}"
        return text


def has_errors(findings):
    """Return whether a list of findings has one that makes the check fail."""
    return any(finding.severity == "error" for finding in findings)
