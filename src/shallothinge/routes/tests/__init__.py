"""Tests of ``shallothinge.routes``."""
