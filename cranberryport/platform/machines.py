"""Client of the platform's interface for instances, and the records of waves."""

import dataclasses

from cranberryport.platform import bodies
from cranberryport.scheduling import instances

HOLDER_HEADER = b"duty-holder"
FENCE_HEADER = b"fencing-token"
TIMEOUT_S = 1.0
STATES = {"up", "moving", "upkeep", "down"}


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class OrderResult:
    """Answer to an order.

    Attributes
    ----------
    is_accepted : bool
        Whether it is done, now or earlier.
    refusal : str
        ``fenced``, ``busy``, ``wave``, ``invalid`` or ``limited``; empty if no answer
        came, so that it may still be carried out.
    """

    is_accepted: bool
    refusal: str = ""


class InstanceClient:
    """Lists instances and orders moves and upkeep; results come to callbacks.

    Parameters
    ----------
    pool : cranberryport.http.connection_pool.ConnectionPool
        Connections.
    address : tuple of (str, int)
        IP address and port.
    holder : str
        Name of this entry instance.
    """

    __slots__ = ("_address", "_holder", "_pool")

    def __init__(self, *, pool, address, holder):
        self._pool = pool
        self._address = address
        self._holder = holder

    def list_instances(self, callback):
        """Ask for all instances; gives a dict of instances by id, or None."""
        found = {}

        def ask(token):
            target = "/api/machines"
            if token:
                target += f"?PageToken={token}"
            self._pool.send(
                self._address, "GET", target, callback=finish, timeout_s=TIMEOUT_S
            )

        def finish(result):
            status, fields = bodies.read_response(result)
            if status != 200 or not isinstance(fields.get("Machines"), list):
                callback(None)
                return
            for row in fields["Machines"]:
                instance = _read_instance(row)
                if instance is not None:
                    found[instance.id] = instance
            if fields.get("NextToken"):
                ask(fields["NextToken"])
            else:
                callback(found)

        ask(None)

    def move(self, instance, pool, *, fence, callback):
        """Move an instance to a pool; what runs on it ends at once."""
        body = {"Machine": instance, "Pool": pool}
        self._order("/api/machine-move", body, fence, callback)

    def start_maintenance(self, instance, wave, *, fence, callback):
        """Begin the upkeep of an instance; what runs on it ends at once."""
        body = {"Machine": instance, "Wave": wave}
        self._order("/api/machine-upkeep", body, fence, callback)

    def _order(self, target, body, fence, callback):
        headers = (
            *bodies.JSON_HEADERS,
            (HOLDER_HEADER, self._holder.encode()),
            (FENCE_HEADER, str(fence).encode()),
        )
        self._pool.send(
            self._address,
            "POST",
            target,
            callback=lambda result: callback(_read_order(result)),
            timeout_s=TIMEOUT_S,
            body=bodies.encode(body),
            headers=headers,
        )


def _read_order(result):
    status, fields = bodies.read_response(result)
    if status == 200:
        return OrderResult(is_accepted=True)
    if status == 409:
        reason = bodies.text(fields, "Reason")
        return OrderResult(
            is_accepted=False, refusal="fenced" if reason == "fence" else reason
        )
    if status in (429, 503):
        return OrderResult(is_accepted=False, refusal="limited")
    if 400 <= status < 500:
        return OrderResult(is_accepted=False, refusal="invalid")
    return OrderResult(is_accepted=False)


def _read_instance(row):
    if not isinstance(row, dict) or row.get("State") not in STATES:
        return None
    labels = row.get("Labels")
    is_labelled = isinstance(labels, list) and bool(labels)
    room = row.get("Capacity")
    return instances.Instance(
        id=bodies.text(row, "Machine"),
        pool=bodies.text(row, "Pool"),
        state=row["State"],
        executor=bodies.text(row, "Id"),
        # The first label is the kind of the instance, the second its rack.
        kind=str(labels[0]) if is_labelled else "",
        processors=bodies.integer(room, "Cpu") if isinstance(room, dict) else 0,
    )


def parse_wave(value, now):
    """Return the wave of an operator's record, None if it cannot be read.

    Parameters
    ----------
    value : bytes
        The record.
    now : float
        Monotonic time in seconds, from which the wave's time counts.
    """
    fields = bodies.decode(value)
    if fields is None or not isinstance(fields.get("Machines"), list):
        return None
    return instances.Wave(
        number=bodies.integer(fields, "Wave"),
        instances=[m for m in fields["Machines"] if isinstance(m, str)],
        deadline=now + bodies.integer(fields, "DurationS"),
        max_down=max(1, bodies.integer(fields, "Maximum", 1)),
    )


def encode_wave_status(number, *, is_completed):
    """Return key and value of the record that tells the state of a wave."""
    state = "completed" if is_completed else "active"
    return f"wave/{number}", bodies.encode({"Wave": number, "State": state})
