"""Tests of ``shallothinge.http1``."""
