"""Tests of the control slice."""
