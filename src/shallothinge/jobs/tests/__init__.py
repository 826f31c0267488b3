"""Tests of the jobs slice."""
