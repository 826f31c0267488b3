"""Engine memory that is reserved for prompts above one engine's size."""
