"""The control process: replicated state and the server around it."""
