"""Tests of ``shallothinge.quarantine``."""
