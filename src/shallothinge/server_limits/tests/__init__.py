"""Tests of ``shallothinge.server_limits``."""
