"""Measure the memory that a daemon's imports take, in a process of its own.

Run with ``python -m bench.capacity_imports`` to measure after each import in the order
of ``IMPORTS``; with ``--total`` it measures once, after the import of the daemon.
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
# Used only by the operator's tool, the benchmarks or the report of invalid settings; a
# daemon that imports them takes more memory than it needs.
NOT_IN_DAEMON = ("jsonschema", "typer", "asyncio", "matplotlib", "numpy")


def memory_kb():
    """Return resident and private memory of this process in KB."""
    text = pathlib.Path("/proc/self/smaps_rollup").read_text()
    fields = dict(line.split(":", 1) for line in text.splitlines()[1:])
    numbers = {name: int(value.split()[0]) for name, value in fields.items()}
    private = numbers["Private_Clean"] + numbers["Private_Dirty"]
    return {"rss_kb": numbers["Rss"], "private_kb": private}


def measure_imports(names):
    """Import modules one after another and return the memory after each.

    Parameters
    ----------
    names : iterable of str
        Modules to import.

    Returns
    -------
    list of dict
        The first row is that of the interpreter without these imports. ``modules`` is
        the number of modules loaded so far; memory is cumulative.
    """
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
    rows = measure_imports(["cranberryport.daemon"] if options.total else IMPORTS)
    unexpected = [name for name in NOT_IN_DAEMON if name in sys.modules]
    if unexpected:
        raise SystemExit(f"a daemon imports {', '.join(unexpected)}")
    print(json.dumps(rows))


if __name__ == "__main__":
    main()
