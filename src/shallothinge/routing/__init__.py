"""Backend server selection, circuit breaking and retries."""
