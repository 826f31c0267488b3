"""Leases under which entries and agents act."""
