"""Randomised fault test (soak) of entry instances against stand-ins of their platform.

Starts entry instances (``cranberryport.node``) and the stand-ins of the users' platform
(``standins.platform``) as processes on loopback. Faults of connections, processes and
the store are drawn from a seed. During and after the faults it checks invariants on the
responses to callers and on the runs at the executors. ``python -m soak --help`` lists
the options.
"""
