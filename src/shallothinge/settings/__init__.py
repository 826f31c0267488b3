"""Settings files in TOML, checked."""
