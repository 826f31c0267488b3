"""Bundle texts for tests."""

KEY_HASH = 'ab' * 32


def bundle_text(
    *, version: int = 1, replaces: int = 0, allowance_tokens: int = 0
) -> str:
    """Return the text of a small valid bundle."""
    return f'''version = {version}
replaces_version = {replaces}
zones = ["a", "b"]

[[models]]
name = "notes"
version = "3"
adapters = ["bonds"]
zones = ["a"]

[[services]]
name = "bond-registry"
repeatable = false

[[workspaces]]
name = "underwriting"
key_hashes = ["{KEY_HASH}"]
models = ["notes@3"]
services = ["bond-registry"]
allowance_tokens_per_month = {allowance_tokens}
'''
