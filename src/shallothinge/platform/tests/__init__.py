"""Tests of ``shallothinge.platform``."""
