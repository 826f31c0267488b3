"""Tests of the ledger slice."""
