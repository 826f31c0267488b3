"""Availability zones and backend servers out of service."""
