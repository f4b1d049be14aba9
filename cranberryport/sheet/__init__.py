"""Sheets: CSV tables with the configuration of a deployment.

There are two, one of the deployment's owner and one of the team that operates it. The
modules here read and check a sheet, merge the two and sign a sheet for publication.
"""
