"""Example bundles of the two deployments."""
