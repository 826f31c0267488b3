"""Tests of ``shallothinge.placement``."""
