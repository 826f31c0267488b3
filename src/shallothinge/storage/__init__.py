"""Files that hold the log, synced before they count."""
