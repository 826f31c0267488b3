"""Checks, golden sessions and trials that span several slices."""
