"""Measure the fold: records a second, snapshot size and restore time.

Run with ``python -m bench.fold``. The figures are those of one core of the machine.
"""

import argparse
import json
import random
import time

from cranberryport import codec
from cranberryport.generated import messages
from cranberryport.state import fold, snapshot

SESSIONS = 8
SLOTS = 8
ANSWER_BYTES = 1_024
# The present size is 30 instances; 100 leaves room for growth.
INSTANCES = 100
RECORDS_PER_ENVELOPE = 10


def envelopes(keys, random_numbers):
    """Return bodies that open sessions, observe instances and answer keys."""
    names = [f"session-{number}" for number in range(SESSIONS)]
    sequences = dict.fromkeys(names, 0)

    def body(writer, records):
        sequences[writer] += 1
        maps = [codec.to_map(record) for record in records]
        envelope = messages.Envelope(
            writer=writer, sequence=sequences[writer], records=maps
        )
        return codec.encode(envelope)

    result = [body(name, [_opened(name)]) for name in names]
    result += [body(names[0], [_observed(number)]) for number in range(INSTANCES)]
    for first in range(0, keys, RECORDS_PER_ENVELOPE):
        writer = random_numbers.choice(names)
        numbers = range(first, min(first + RECORDS_PER_ENVELOPE, keys))
        result.append(body(writer, [_claimed(number, writer) for number in numbers]))
        result.append(
            body(
                writer,
                [_finished(number, writer, random_numbers) for number in numbers],
            )
        )
        heartbeat = messages.SessionHeartbeat(session=writer, position=len(result))
        result.append(body(writer, [heartbeat]))
    return result


def _opened(name):
    return messages.SessionOpened(
        session=name, instance=name, data_centre="dc1", host="127.0.0.1", port=1
    )


def _observed(number):
    return messages.InstanceObserved(
        instance=f"instance-{number}",
        service="cutting",
        host="127.0.0.1",
        port=1,
        data_centre=f"dc{number % 3}",
        rack=f"rack{number % 9}",
        slots=SLOTS,
        status="live",
    )


def _claimed(number, writer):
    return messages.KeyClaimed(
        key=f"key-{number:032d}",
        session=writer,
        digest="0" * 64,
        service="cutting",
        issued=1e9 + number,
    )


def _finished(number, writer, random_numbers):
    return messages.KeyFinished(
        key=f"key-{number:032d}",
        session=writer,
        status=200,
        headers=[["content-type", "application/json"]],
        body=random_numbers.randbytes(ANSWER_BYTES),
        truncated=False,
    )


def measure(keys, seed):
    """Return the figures for a number of keys."""
    bodies = envelopes(keys, random.Random(seed))
    state = fold.State()
    start = time.perf_counter()
    records = sum(
        len(fold.apply_envelope(state, offset, body))
        for offset, body in enumerate(bodies)
    )
    folded_s = time.perf_counter() - start
    start = time.perf_counter()
    parts = snapshot.make_chunks(state, snapshot="bench")
    written_s = time.perf_counter() - start
    start = time.perf_counter()
    restored = snapshot.restore(parts)
    restored_s = time.perf_counter() - start
    if snapshot.encode(restored) != snapshot.encode(state):
        raise SystemExit("the restored state differs from the folded one")
    return {
        "keys": keys,
        "instances": INSTANCES,
        "answer_bytes": ANSWER_BYTES,
        "records": records,
        "records_per_s": round(records / folded_s),
        "snapshot_bytes": sum(len(part.data) for part in parts),
        "snapshot_chunks": len(parts),
        "snapshot_s": round(written_s, 4),
        "restore_s": round(restored_s, 4),
    }


def main():
    """Print the figures as one JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keys", type=int, default=1_000)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    print(json.dumps(measure(arguments.keys, arguments.seed)))


if __name__ == "__main__":
    main()
