"""Rates of requests that backend servers take from all gateways."""
