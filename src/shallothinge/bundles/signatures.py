"""Operators' Ed25519 signatures over the hash of a bundle's text."""

import hashlib

from cryptography import exceptions
from cryptography.hazmat.primitives.asymmetric import ed25519

SUBMIT_PURPOSE = 'submit'
SIGN_OFF_PURPOSE = 'sign-off'


def hash_content(content: str) -> str:
    """Return the hex SHA-256 of a bundle's text."""
    return hashlib.sha256(content.encode()).hexdigest()


def build_payload(*, purpose: str, content_hash: str) -> bytes:
    """Return the bytes that an operator signs.

    :param purpose: ``SUBMIT_PURPOSE`` or ``SIGN_OFF_PURPOSE``, so that one
        signature can't serve as the other.
    """
    return f'{purpose}:{content_hash}'.encode()


def sign(*, private_key: str, purpose: str, content_hash: str) -> bytes:
    """Return the signature made with a private key in hex."""
    key = ed25519.Ed25519PrivateKey.from_private_bytes(
        bytes.fromhex(private_key)
    )
    return key.sign(build_payload(purpose=purpose, content_hash=content_hash))


def is_valid(
    *, public_key: str, purpose: str, content_hash: str, signature: bytes
) -> bool:
    """Return whether the signature is by the public key in hex."""
    payload = build_payload(purpose=purpose, content_hash=content_hash)
    try:
        key = ed25519.Ed25519PublicKey.from_public_bytes(
            bytes.fromhex(public_key)
        )
        key.verify(signature, payload)
    except (ValueError, exceptions.InvalidSignature):
        return False
    return True
