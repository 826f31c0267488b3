"""Routes from callers to services, as operators order them."""
