"""Token counts and prefix block hashes of prompts.

The count is an estimate by size; engines report the exact number with the
end of a stream, and usage is settled by that.
"""

import hashlib

BYTES_PER_TOKEN = 4
BLOCK_TOKENS = 1024
BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN
HASH_HEX_DIGITS = 16
MAX_HASHED_BLOCKS = 64


def count_tokens(text: str) -> int:
    """Return the estimated number of tokens of a text."""
    return -(-len(text.encode()) // BYTES_PER_TOKEN)


def block_hashes(
    text: str, *, max_blocks: int = MAX_HASHED_BLOCKS
) -> tuple[str, ...]:
    """Return one hash for each whole leading block of a prompt.

    Each hash covers the prompt from its start to the end of the block, so
    equal hashes mean equal prefixes.

    :param max_blocks: how many leading blocks to hash at most.
    """
    data = text.encode()
    running = hashlib.sha256()
    hashes = []
    for number in range(min(max_blocks, len(data) // BLOCK_BYTES)):
        start = number * BLOCK_BYTES
        running.update(data[start : start + BLOCK_BYTES])
        hashes.append(running.hexdigest()[:HASH_HEX_DIGITS])
    return tuple(hashes)
