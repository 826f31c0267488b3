"""Choice of backend servers from what all gateways have under way."""
