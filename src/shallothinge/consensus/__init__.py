"""Replicated log: terms, votes, entries, snapshots, membership."""
