"""Randomized faults against the real programs, injected from outside."""
