"""Tests of connections between processes."""
