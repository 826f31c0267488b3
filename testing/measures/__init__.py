"""Measurements of whole deployments in separate processes."""
