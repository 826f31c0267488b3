"""Tests of the streams slice."""
