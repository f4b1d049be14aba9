"""Copies of the deployments' sheets for tests, benchmarks and the demo."""

import csv
import datetime

# Settings that limit a maintenance wave to a time of day. With them the result of a
# test would depend on the time at which it runs.
TIME_OF_DAY_SETTINGS = ("not_before", "not_after")
# Local time at which the published intent of a day (its planned maintenance and moves)
# ends.
INTENT_END_TIME = "23:59"
# Authority whose sheet a publisher may publish, by name of the publisher.
PUBLISHER_AUTHORITIES = {"owner": "owner", "planner": "team"}


def copy_sheet(source, target, *, without, rows=()):
    """Copy a sheet, leaving out some settings and appending rows.

    Parameters
    ----------
    source, target : pathlib.Path
        Sheet to read, and file to write.
    without : tuple of str
        Names of settings whose rows are left out.
    rows : list of str
        Lines of CSV that are appended.
    """
    with open(source, encoding="utf-8", newline="") as file:
        kept = [fields for fields in csv.reader(file) if fields[3] not in without]
    with open(target, "w", encoding="utf-8", newline="") as file:
        csv.writer(file, lineterminator="\n").writerows(kept)
        file.writelines(f"{row}\n" for row in rows)


def publication_day(now=None):
    """Return the day to publish a sheet for, so that its intent lasts at least 2 hours.

    The intent of a day ends at ``INTENT_END_TIME``.

    Parameters
    ----------
    now : datetime.datetime, optional
        Local time; the current time by default.

    Returns
    -------
    str
        ISO date: today, or tomorrow in the last two hours of a day.
    """
    now = now or datetime.datetime.now()
    return (now + datetime.timedelta(hours=2)).date().isoformat()
