"""Durable ledger of tokens used."""
