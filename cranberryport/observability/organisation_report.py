"""Use, limits and shares of the organisations, for operators and for the metrics.

The controller computes the figures; this module only arranges them. Rows that
:func:`read_rows` cannot know by itself, such as the service received, are passed to it.
"""

import collections
import urllib.parse

from cranberryport.scheduling import organisation_limits, organisation_usage

# The metrics name this many organisations, so that the page does not grow with the
# configuration: 20 are expected, and a customer with 2,000 would have 20,000 lines.
NAMED_METRICS_LIMIT = 32
# Name in the metrics of the sum of all other organisations.
OTHER = "other"


class Resources:
    """Processors, memory and accelerators in use, or their limits.

    Parameters
    ----------
    processors : int, default=0
        Thousandths of a core.
    memory : int, default=0
        Mebibytes.
    accelerators : int, default=0
        Number of accelerators.
    """

    __slots__ = ("accelerators", "memory", "processors")

    def __init__(self, *, processors=0, memory=0, accelerators=0):
        self.processors = processors
        self.memory = memory
        self.accelerators = accelerators

    def to_dict(self):
        """Return the values by name."""
        return {
            "processors": self.processors,
            "memory": self.memory,
            "accelerators": self.accelerators,
        }


class OrganisationRow:
    """Figures of one organisation.

    Parameters
    ----------
    name : str
        Name of the organisation.
    weight : float or None
        Its weight; None if it is missing from the configuration.
    limits : Resources
        Its limits; 0 for no limit.
    use : Resources
        What its runs use on all executors.
    share : float or None
        Its share of all capacity, from 0 to 1; None if not known.
    received : float or None
        Service received lately in core-seconds; None if not known.
    waiting : int
        Number of its open jobs without any run so far.
    rejected : dict of str to int
        Number of rejected submissions since the takeover by reason.
    """

    __slots__ = (
        "limits",
        "name",
        "received",
        "rejected",
        "share",
        "use",
        "waiting",
        "weight",
    )

    def __init__(
        self,
        *,
        name,
        weight=None,
        limits=None,
        use=None,
        share=None,
        received=None,
        waiting=0,
        rejected=None,
    ):
        self.name = name
        self.weight = weight
        self.limits = limits or Resources()
        self.use = use or Resources()
        self.share = share
        self.received = received
        self.waiting = waiting
        self.rejected = dict(rejected or {})


class OrganisationReport:
    """The organisations as a page for operators and as metrics.

    Parameters
    ----------
    rows : iterable of OrganisationRow
        One row for each organisation.
    """

    __slots__ = ("_rows",)

    def __init__(self, rows):
        self._rows = sorted(rows, key=lambda row: row.name)

    def to_page(self):
        """Return the JSON value of the page, with the rows in order of their names."""
        return {
            "organisations": [
                {
                    "name": row.name,
                    "weight": row.weight,
                    "share": row.share,
                    "use": row.use.to_dict(),
                    "limit": row.limits.to_dict(),
                    "received_core_s": row.received,
                    "waiting_jobs": row.waiting,
                    "rejected": row.rejected,
                }
                for row in self._rows
            ]
        }

    def to_gauges(self):
        """Return the metrics of at most ``NAMED_METRICS_LIMIT`` organisations.

        Returns
        -------
        dict of str to float
            Values by name, which is ``NAME.FIGURE``. The organisations with the highest
            weights are named. The others are summed as ``other``, without limits, as
            the sum of limits says nothing where one of them has none. An organisation
            that itself is called ``other`` is part of that sum.
        """
        by_weight = sorted(
            (row for row in self._rows if row.name != OTHER),
            key=lambda row: (-(row.weight or 0.0), row.name),
        )
        named = by_weight[:NAMED_METRICS_LIMIT]
        names = {row.name for row in named}
        gauges = {}
        for row in named:
            # A name may contain blanks, which separate name and value of a metric.
            prefix = urllib.parse.quote(row.name, safe="")
            values = _figures(row)
            values |= {f"{k}_limit": v for k, v in row.limits.to_dict().items()}
            gauges |= {f"{prefix}.{figure}": v for figure, v in values.items()}
        sums = collections.Counter()
        for row in self._rows:
            if row.name not in names:
                sums.update(_figures(row))
        return gauges | {f"{OTHER}.{figure}": value for figure, value in sums.items()}


def read_rows(state, now, *, shares=None, received=None, rejected=None):
    """Return the rows of all organisations that are configured or have open jobs.

    Parameters
    ----------
    state : cranberryport.scheduling.scheduler.Scheduler
        State of all jobs and executors.
    now : float
        Monotonic time in seconds.
    shares : dict of str to float, optional
        Share of each organisation; by default its part of the sum of all weights.
    received : dict of str to float, optional
        Service received lately by each organisation in core-seconds.
    rejected : dict of str to (dict of str to int), optional
        Number of rejected submissions by organisation and reason.

    Returns
    -------
    list of OrganisationRow
        The use is that which the limits count, see :mod:`organisation_usage`.
    """
    use = {
        name: _make_resources(amounts)
        for name, amounts in organisation_usage.measure(state, now).items()
    }
    waiting = collections.Counter(
        job.organisation for job in state.open_jobs.values() if not job.has_started
    )
    configured = state.organisations
    total_weight = sum(organisation.weight for organisation in configured.values())
    received, rejected = received or {}, rejected or {}
    rows = []
    # Jobs without an organisation have the empty name.
    for name in {*configured, *use, *waiting, *rejected} - {""}:
        row = OrganisationRow(
            name=name,
            use=use.get(name),
            received=received.get(name),
            waiting=waiting[name],
            rejected=rejected.get(name),
        )
        organisation = configured.get(name)
        if organisation is not None:
            row.weight = organisation.weight
            row.limits = _make_resources(organisation_limits.limits_of(organisation))
            if total_weight:
                row.share = organisation.weight / total_weight
        if shares is not None:
            row.share = shares.get(name)
        rows.append(row)
    return rows


def _make_resources(amounts):
    processors, memory, accelerators = amounts
    return Resources(processors=processors, memory=memory, accelerators=accelerators)


def _figures(row):
    """Return the figures of a row that can be summed; unknown ones are left out."""
    values = {f"{name}_in_use": value for name, value in row.use.to_dict().items()}
    values["waiting_jobs"] = row.waiting
    values |= {f"rejected.{reason}": count for reason, count in row.rejected.items()}
    optional = {
        "weight": row.weight,
        "share": row.share,
        "received_core_s": row.received,
    }
    return values | {k: v for k, v in optional.items() if v is not None}


def make_report(state, now, statuses=None):
    """Return the report on the present state of a scheduler.

    Parameters
    ----------
    state : cranberryport.scheduling.scheduler.Scheduler
        State of all jobs and executors.
    now : float
        Monotonic time in seconds.
    statuses : dict of str to organisation_shares.OrganisationStatus, optional
        Shares and service of the organisations by name.

    Returns
    -------
    OrganisationReport
        What :func:`read_rows` finds.
    """
    if statuses is None:
        return OrganisationReport(read_rows(state, now))
    rows = read_rows(
        state,
        now,
        shares={name: status.share for name, status in statuses.items()},
        received={name: s.received_core_s for name, s in statuses.items()},
        rejected={name: status.rejected_counts for name, status in statuses.items()},
    )
    return OrganisationReport(rows)
