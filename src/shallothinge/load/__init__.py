"""Load generation and experiments."""
