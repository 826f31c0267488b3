"""Tests of the reservations slice."""
