"""Stand-ins of the users' platform, all in one process on loopback.

They implement the platform's protocol for the metadata store, the executors, and the
interface that lists, moves and maintains instances. ``python -m standins.platform``
starts all of them. Its operator's port accepts orders that inject faults or act as the
platform's operator (``POST /control``), and reports violated invariants and counts
(``GET /findings``).
"""
