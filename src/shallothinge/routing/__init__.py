"""Choice of backend servers, and retries."""
