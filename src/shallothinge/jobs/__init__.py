"""Durable long requests: accepted, run by any entry, fetched by id."""
