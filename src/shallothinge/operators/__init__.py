"""The operators' command line and the orders that it sends."""
