"""Token allowances of workspaces, handed to entries in slices."""
