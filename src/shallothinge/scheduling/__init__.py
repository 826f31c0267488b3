"""Order of waiting requests across gateways when capacity is scarce."""
