"""Tests of ``shallothinge.gateway``."""
