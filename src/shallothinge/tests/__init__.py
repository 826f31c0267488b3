"""Tests of the modules that all slices share."""
