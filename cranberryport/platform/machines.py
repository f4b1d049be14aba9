"""Client of the platform's interface for instances, and codec of wave records.

The interface calls an instance a machine. A wave is the operator's request that a set
of instances get maintenance (upkeep) within a given time.
"""

import dataclasses
import logging

import msgspec

from cranberryport.platform import bodies
from cranberryport.scheduling import instances

HOLDER_HEADER = b"duty-holder"
FENCE_HEADER = b"fencing-token"
TIMEOUT_S = 1.0
# States of an instance; instances in any other state are ignored.
STATES = {"up", "moving", "upkeep", "down"}

_logger = logging.getLogger(__name__)


@dataclasses.dataclass(kw_only=True, slots=True, frozen=True)
class OrderResult:
    """Result of an order to move an instance or to start its maintenance.

    Attributes
    ----------
    is_accepted : bool
        Whether the order was accepted, now or by an earlier call.
    reason : str
        Why the order was refused: ``fenced`` (there was an order of a later epoch),
        ``busy`` (the instance is not up), ``wave`` (the wave does not allow it),
        ``invalid`` or ``limited`` (try again later). Empty if it is not known whether
        the order was or will be carried out.
    """

    is_accepted: bool
    reason: str = ""


class InstanceClient:
    """Lists, moves and maintains instances; results are passed to callbacks.

    Parameters
    ----------
    connections : cranberryport.http.connection_pool.ConnectionPool
        Connections to the interface.
    address : tuple of (str, int)
        IP address and port of the interface.
    holder : str
        Name of this entry instance, sent with each order as its sender.
    """

    __slots__ = ("_address", "_connections", "_holder")

    def __init__(self, *, connections, address, holder):
        self._connections = connections
        self._address = address
        self._holder = holder

    def list_instances(self, callback):
        """List all instances, page by page.

        Parameters
        ----------
        callback : callable
            Called once with a dict of instances by id, or None if a page failed.
        """
        found = {}

        def request_page(token):
            target = "/api/machines"
            if token:
                target += f"?PageToken={token}"
            self._connections.send(
                self._address, "GET", target, callback=on_page, timeout_s=TIMEOUT_S
            )

        def on_page(result):
            status, fields = bodies.read_response(result)
            if status != 200 or not isinstance(fields.get("Machines"), list):
                callback(None)
                return
            for row in fields["Machines"]:
                instance = _parse_instance(row)
                if instance is not None:
                    found[instance.id] = instance
            token = fields.get("NextToken") or ""
            if not isinstance(token, str | int):
                _logger.error(
                    "malformed token of a page", extra={"token": bodies.quote(token)}
                )
                callback(None)
            elif token:
                request_page(token)
            else:
                callback(found)

        request_page(None)

    def move(self, instance_id, pool, *, epoch, may_send, callback):
        """Move an instance to a pool; its executor and all runs on it end at once."""
        body = {"Machine": instance_id, "Pool": pool}
        self._send_order("/api/machine-move", body, epoch, may_send, callback)

    def start_maintenance(self, instance_id, wave, *, epoch, may_send, callback):
        """Start the maintenance of an instance; all runs on it end at once."""
        body = {"Machine": instance_id, "Wave": wave}
        self._send_order("/api/machine-upkeep", body, epoch, may_send, callback)

    def _send_order(self, target, body, epoch, may_send, callback):
        headers = (
            *bodies.JSON_HEADERS,
            (HOLDER_HEADER, self._holder.encode()),
            (FENCE_HEADER, str(epoch).encode()),
        )
        self._connections.send(
            self._address,
            "POST",
            target,
            callback=lambda result: callback(_parse_order_result(result)),
            timeout_s=TIMEOUT_S,
            body=bodies.encode(body),
            headers=headers,
            may_send=may_send,
        )


def _parse_order_result(result):
    status, fields = bodies.read_response(result)
    if status == 200:
        return OrderResult(is_accepted=True)
    if status == 409:
        reason = bodies.get_text(fields, "Reason")
        return OrderResult(
            is_accepted=False, reason="fenced" if reason == "fence" else reason
        )
    if status in (429, 503):
        return OrderResult(is_accepted=False, reason="limited")
    if 400 <= status < 500:
        return OrderResult(is_accepted=False, reason="invalid")
    return OrderResult(is_accepted=False)


def _parse_instance(row):
    if not isinstance(row, dict) or not bodies.get_text(row, "Machine"):
        return None
    if bodies.get_text(row, "State") not in STATES:
        return None
    labels = row.get("Labels")
    # The first label is the kind of the instance, the second its rack.
    kind = labels[0] if isinstance(labels, list) and labels else ""
    capacity = row.get("Capacity")
    if not isinstance(capacity, dict):
        capacity = {}
    return instances.Instance(
        id=bodies.get_text(row, "Machine"),
        pool=bodies.get_text(row, "Pool"),
        state=row["State"],
        executor=bodies.get_text(row, "Id"),
        kind=kind if isinstance(kind, str) else "",
        processors=max(0, bodies.get_integer(capacity, "Cpu")),
        memory=max(0, bodies.get_integer(capacity, "MemMb")),
        accelerators=max(0, bodies.get_integer(capacity, "Gpu")),
    )


class _Wave(msgspec.Struct, kw_only=True, frozen=True):
    """Fields of a wave, under the names of the platform."""

    number: bodies.Count = msgspec.field(name="Wave")
    instances: list[str] = msgspec.field(name="Machines")
    duration_s: bodies.Count = msgspec.field(name="DurationS")
    max_down: bodies.Count = msgspec.field(name="Maximum", default=1)


_decode_wave = bodies.make_decoder(_Wave)


def parse_wave(value, now):
    """Return the wave in a record of the operator, or why it cannot be used.

    Parameters
    ----------
    value : bytes
        The record.
    now : float
        Monotonic time in seconds, from which the duration of the wave is counted.

    Returns
    -------
    instances.Wave or bodies.Invalid
        ``Invalid`` if a field is missing, of another type or out of its limits.
    """
    wave = _decode_wave(value)
    if isinstance(wave, bodies.Invalid):
        return wave
    return instances.Wave(
        number=int(wave.number),
        instances=list(wave.instances),
        deadline=now + wave.duration_s,
        max_down=max(1, int(wave.max_down)),
    )


def encode_wave_status(number, *, is_completed):
    """Return key and value of the record that reports the status of a wave."""
    status = "completed" if is_completed else "active"
    return f"wave/{number}", bodies.encode({"Wave": number, "State": status})
