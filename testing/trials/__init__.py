"""Trials of whole deployments in separate processes under faults."""
