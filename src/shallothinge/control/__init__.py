"""The control process: replicated state and its shell."""
