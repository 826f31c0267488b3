"""Tests of the entry slice."""
