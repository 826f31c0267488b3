"""Admission and queueing of requests at an entry."""
