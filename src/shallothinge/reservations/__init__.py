"""Reservations of memory for prompts too large for one engine."""
