"""HTTP/1.1 over Twisted connections, parsed by h11."""
