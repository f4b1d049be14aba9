"""Stand-ins for the platform and for backend servers, used by tests and demos.

A stand-in is a process that answers on loopback like an outside service. Requests to
its address ``/control`` inject faults and report what it has received.
"""
