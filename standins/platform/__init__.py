"""Stand-ins of the users' platform: store, executors, instances, in one process.

They speak the platform's protocol on loopback. ``python -m standins.platform`` starts
all of them; ``POST /control`` at the operator's port gives orders and ``GET /findings``
tells which invariants were violated, from what the executors saw.
"""
