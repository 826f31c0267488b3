"""Selection of backend servers by the load that all gateways report."""
