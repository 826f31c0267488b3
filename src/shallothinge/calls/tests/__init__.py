"""Tests of the calls slice."""
