"""Measurements: each prints or writes figures and fails on none."""
