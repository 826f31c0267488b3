"""Calls to plain services, and those that may run at most once."""
