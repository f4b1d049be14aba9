"""Measure the resident memory of a daemon's imports in a process of its own.

Run with ``python -m bench.capacity_imports`` for the growth with each import in the
order of the list; ``--total`` imports the daemon only.
"""

import argparse
import importlib
import json
import pathlib
import sys

IMPORTS = (
    "logging",
    "dataclasses",
    "ipaddress",
    "tomllib",
    "importlib.metadata",
    "multiprocessing.pool",
    "circuits",
    "ssl",
    "http.client",
    "email.message",
    "circuits.web",
    "websockets.client",
    "websockets.server",
    "cbor2",
    "msgspec",
    "h11",
    "hdrh.histogram",
    "statsd",
    "pythonjsonlogger.json",
    "cranberryport.generated.messages",
    "cranberryport.generated.settings",
    "cranberryport.daemon",
)
# Needed by the operator's tool or for bad settings only.
NOT_FOR_A_DAEMON = ("jsonschema", "typer", "asyncio", "matplotlib", "numpy")


def memory_kb():
    """Return resident and private memory of this process in KB."""
    text = pathlib.Path("/proc/self/smaps_rollup").read_text()
    fields = dict(line.split(":", 1) for line in text.splitlines()[1:])
    numbers = {name: int(value.split()[0]) for name, value in fields.items()}
    private = numbers["Private_Clean"] + numbers["Private_Dirty"]
    return {"rss_kb": numbers["Rss"], "private_kb": private}


def measure(names):
    """Return a row for the interpreter and for each import."""
    rows = [{"import": "interpreter", "modules": len(sys.modules), **memory_kb()}]
    for name in names:
        importlib.import_module(name)
        rows.append({"import": name, "modules": len(sys.modules), **memory_kb()})
    return rows


def main():
    """Print the rows as one JSON line."""
    parser = argparse.ArgumentParser(description="Measure the memory of imports.")
    parser.add_argument("--total", action="store_true")
    options = parser.parse_args()
    rows = measure(["cranberryport.daemon"] if options.total else IMPORTS)
    found = [name for name in NOT_FOR_A_DAEMON if name in sys.modules]
    if found:
        raise SystemExit(f"a daemon imports {', '.join(found)}")
    print(json.dumps(rows))


if __name__ == "__main__":
    main()
