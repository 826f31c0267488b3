"""The gateway: forwards HTTP requests straight to backend servers."""
