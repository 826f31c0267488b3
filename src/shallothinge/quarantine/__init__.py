"""Quarantine of prompt parts that crash the servers that generate on them."""
