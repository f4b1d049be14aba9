"""Malformed entries that another program writes among those of the executors.

The platform's protocol allows them: fields that are missing or of another type, unknown
states and services, and bytes that cannot be read. None of them names an executor.
"""

import json

_VALID = {
    "Service": "one",
    "Address": "127.1.0.1:9",
    "Zone": "a",
    "State": "ready",
    "Capacity": {"Cpu": 16_000, "MemMb": 32_768, "Gpu": 0},
    "Labels": ["a", "rack-0"],
    "born": 1,
    "Sequence": 1,
}
_FIELDS = (
    {"Address": "127.0.0.1:99999"},
    {"Address": "127.0.0.1:-1"},
    {"Address": "worker.example:80"},
    {"Address": None},
    {"Address": [1]},
    {"State": "odd"},
    {"State": {}},
    {"Service": 5},
    {"Capacity": []},
    {"Capacity": {"Cpu": "many"}},
    {"Capacity": {"Cpu": 10**400, "MemMb": 1, "Gpu": 0}},
    {"Capacity": {"Cpu": -5, "MemMb": 1, "Gpu": 0}},
    {"Labels": 7},
    {"Labels": [[], {}]},
    {"born": 10**300},
    {"born": "now"},
    {"State": "draining", "RemainingMs": 10**300},
)
_TEXTS = (
    "[" * 100_000,
    '{"Address":' * 20_000,
    '{"born": 1e999}',
    "no JSON",
    "3",
    "\x00\x01",
)


def draw(generator):
    """Return the value of a malformed entry.

    Parameters
    ----------
    generator : random.Random
        Source of the choice.

    Returns
    -------
    str
        Text of the value.
    """
    fields = generator.choice((*_FIELDS, None))
    if fields is None:
        return generator.choice(_TEXTS)
    return json.dumps(_VALID | fields)
