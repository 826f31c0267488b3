"""Versioned bundles and the serving configuration made from them."""
