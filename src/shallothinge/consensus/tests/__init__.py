"""Tests of the consensus slice."""
