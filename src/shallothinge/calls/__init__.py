"""Calls to plain services, including calls that run at most once."""
