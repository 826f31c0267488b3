"""Admission control and queueing of requests in an entry process."""
