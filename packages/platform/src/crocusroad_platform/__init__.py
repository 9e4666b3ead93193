"""Adapter to the platform that the gateway runs on.

It holds header names, data formats and store calls, and makes no decisions.
`main` is the entry point. Data from the platform is converted to the types of
the core package before the gateway uses it.
"""
