"""Backend servers that have announced themselves."""
