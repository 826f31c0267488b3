"""Streams of generated tokens between an agent and an entry."""
