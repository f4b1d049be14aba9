"""Copies of the deployments' sheets for tests and the demo."""

import csv
import datetime

# Limits of the time of day would make a test depend on when it runs.
TIME_OF_DAY_SETTINGS = ("not_before", "not_after")
INTENT_END_TIME = "23:59"
PUBLISHER_AUTHORITIES = {"owner": "owner", "planner": "team"}


def copy_sheet(source, target, *, without, rows=()):
    """Copy a sheet without some settings and with further rows.

    Parameters
    ----------
    source, target : pathlib.Path
        Files.
    without : tuple of str
        Settings whose rows are left out.
    rows : list of str
        Lines that are added at the end.
    """
    with open(source, encoding="utf-8", newline="") as file:
        lines = [line for line in csv.reader(file) if line[3] not in without]
    with open(target, "w", encoding="utf-8", newline="") as file:
        csv.writer(file, lineterminator="\n").writerows(lines)
        file.writelines(f"{row}\n" for row in rows)


def publication_day(now=None):
    """Return the day for a publication whose intent lasts for at least two hours.

    Parameters
    ----------
    now : datetime.datetime, optional
        Local time; the present time by default.

    Returns
    -------
    str
        ISO date; tomorrow's in the last two hours of a day.
    """
    now = now or datetime.datetime.now()
    return (now + datetime.timedelta(hours=2)).date().isoformat()
