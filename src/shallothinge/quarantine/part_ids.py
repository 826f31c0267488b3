"""Ids under which the quarantine knows the parts of prompts."""

import hashlib

from shallothinge.quarantine import fingerprints

# The longest id that is kept as its caller wrote it.
MAX_LENGTH = 64
# Begins the id of a part whose text is replaced by a digest.
DIGEST_PREFIX = 'part-'
DIGEST_BYTES = 12


def part_id_of(text: str) -> str:
    """Return the id for a part that a caller named, of bounded length.

    All gateways derive the same id. Short texts stay as they are, so that
    gateways of the former release know these parts by the same ids; what
    could be taken for the fingerprint of a request does not.
    """
    if len(text) <= MAX_LENGTH and not fingerprints.is_fingerprint(text):
        return text
    digest = hashlib.blake2b(
        text.encode('utf-8', 'surrogateescape'), digest_size=DIGEST_BYTES
    )
    return DIGEST_PREFIX + digest.hexdigest()
