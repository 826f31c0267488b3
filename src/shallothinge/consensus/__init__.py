"""Replicated log: elections, entries, snapshots and membership."""
