"""Tests of the membership slice."""
