"""Tests of the bundles slice."""
