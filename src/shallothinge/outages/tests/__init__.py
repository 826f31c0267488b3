"""Tests of the outages slice."""
