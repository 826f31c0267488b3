"""Tests of the allowances slice."""
