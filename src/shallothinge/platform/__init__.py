"""Adapter to the platform of the prepared machines."""
