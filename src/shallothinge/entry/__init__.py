"""The entry process that callers talk to."""
