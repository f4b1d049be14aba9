"""Translates between the users' platform and this project.

The addresses, field names and header names of the platform's interfaces are used in
this package only. The epoch of the controller is sent as ``FencingToken``.
"""
