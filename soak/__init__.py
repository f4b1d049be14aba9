"""Randomized soak of the entry instances on the users' platform.

Runs entry instances and the stand-ins of the platform as processes on loopback, breaks
their connections, processes and store by a plan drawn from a seed, and checks what
callers and executors see. ``python -m soak --help`` tells the options.
"""
