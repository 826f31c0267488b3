"""Streams of generated tokens sent by an agent to an entry."""
