"""Routes from callers to services, as configured by operators."""
