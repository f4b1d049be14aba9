"""Measure the fold of the control stream and the snapshots of its state.

Run with ``python -m bench.fold``. It prints the records folded a second, the size of a
snapshot, and the time to write and restore it, each on one core.
"""

import argparse
import json
import random
import time

from cranberryport import codec
from cranberryport.generated import messages
from cranberryport.state import fold, snapshot

SESSION_COUNT = 8
SLOTS_PER_INSTANCE = 8
ANSWER_BODY_BYTES = 1_024
# Deployments have 30 instances today; 100 leaves room for growth.
INSTANCE_COUNT = 100
RECORDS_PER_ENVELOPE = 10


def make_envelopes(key_count, random_numbers):
    """Return encoded envelopes that open sessions, observe instances and answer keys.

    Parameters
    ----------
    key_count : int
        Idempotency keys, each claimed and answered.
    random_numbers : random.Random
        Chooses the session of each key and the body of each answer.
    """
    names = [f"session-{number}" for number in range(SESSION_COUNT)]
    sequences = dict.fromkeys(names, 0)

    def make_body(writer, records):
        sequences[writer] += 1
        record_maps = [codec.to_map(record) for record in records]
        envelope = messages.Envelope(
            writer=writer, sequence=sequences[writer], records=record_maps
        )
        return codec.encode(envelope)

    envelopes = [make_body(name, [_make_session_opened(name)]) for name in names]
    envelopes += [
        make_body(names[0], [_make_observation(number)])
        for number in range(INSTANCE_COUNT)
    ]
    for start_number in range(0, key_count, RECORDS_PER_ENVELOPE):
        writer = random_numbers.choice(names)
        numbers = range(
            start_number, min(start_number + RECORDS_PER_ENVELOPE, key_count)
        )
        envelopes.append(
            make_body(writer, [_make_claim(number, writer) for number in numbers])
        )
        envelopes.append(
            make_body(
                writer,
                [_make_answer(number, writer, random_numbers) for number in numbers],
            )
        )
        heartbeat = messages.SessionHeartbeat(session=writer, position=len(envelopes))
        envelopes.append(make_body(writer, [heartbeat]))
    return envelopes


def _make_session_opened(name):
    return messages.SessionOpened(
        session=name, instance=name, data_centre="dc1", host="127.0.0.1", port=1
    )


def _make_observation(number):
    return messages.InstanceObserved(
        instance=f"instance-{number}",
        service="cutting",
        host="127.0.0.1",
        port=1,
        data_centre=f"dc{number % 3}",
        rack=f"rack{number % 9}",
        slots=SLOTS_PER_INSTANCE,
        status="live",
    )


def _make_claim(number, writer):
    return messages.KeyClaimed(
        key=f"key-{number:032d}",
        session=writer,
        digest="0" * 64,
        service="cutting",
        issued=1e9 + number,
    )


def _make_answer(number, writer, random_numbers):
    return messages.KeyFinished(
        key=f"key-{number:032d}",
        session=writer,
        status=200,
        headers=[["content-type", "application/json"]],
        body=random_numbers.randbytes(ANSWER_BODY_BYTES),
        truncated=False,
    )


def measure(key_count, seed):
    """Fold a stream, write and restore a snapshot of the state; return the figures.

    Parameters
    ----------
    key_count : int
        Idempotency keys in the stream.
    seed : int
        Seed of the random numbers.
    """
    bodies = make_envelopes(key_count, random.Random(seed))
    state = fold.State()
    started_at = time.perf_counter()
    records = sum(
        len(fold.apply_envelope(state, offset, body))
        for offset, body in enumerate(bodies)
    )
    folded_s = time.perf_counter() - started_at
    started_at = time.perf_counter()
    chunks = snapshot.make_chunks(state, snapshot="bench")
    written_s = time.perf_counter() - started_at
    started_at = time.perf_counter()
    restored = snapshot.restore(chunks)
    restored_s = time.perf_counter() - started_at
    if snapshot.encode(restored) != snapshot.encode(state):
        raise SystemExit("the restored state differs from the folded one")
    return {
        "keys": key_count,
        "instances": INSTANCE_COUNT,
        "answer_bytes": ANSWER_BODY_BYTES,
        "records": records,
        "records_per_s": round(records / folded_s),
        "snapshot_bytes": sum(len(chunk.data) for chunk in chunks),
        "snapshot_chunks": len(chunks),
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
