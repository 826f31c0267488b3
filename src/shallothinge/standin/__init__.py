"""Stand-in backend servers for demos, tests and trials."""
