"""Operators' signing keys and workspaces' API keys."""

import hashlib
import pathlib
import secrets

import attrs
from cryptography.hazmat.primitives.asymmetric import ed25519

from shallothinge.transport import keys

API_KEY_BYTES = 24
API_KEY_PREFIX = 'sk-'
PRIVATE_KEY_HEX_DIGITS = 64
OTHERS_MAY_READ = 0o077


@attrs.frozen(kw_only=True)
class SigningKey:
    """An Ed25519 key pair, in hex."""

    public: str
    private: str = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class ApiKey:
    """A workspace's API key and the digest that bundles hold."""

    key: str = attrs.field(repr=False)
    key_hash: str


def generate_signing_key() -> SigningKey:
    """Return a new key for an operator's signatures."""
    private = ed25519.Ed25519PrivateKey.generate()
    return SigningKey(
        public=private.public_key().public_bytes_raw().hex(),
        private=private.private_bytes_raw().hex(),
    )


def write_signing_key(*, path: pathlib.Path, key: SigningKey) -> None:
    """Write a private key, readable by its owner only.

    :raises FileExistsError: if the file exists.
    """
    keys.write_file(
        path=path, text=key.private + '\n', mode=keys.SECRET_FILE_MODE
    )


def read_signing_key(*, path: pathlib.Path) -> str:
    """Return the private key of a file, in hex.

    :raises KeyFileError: if it is missing, malformed or readable by others.
    """
    try:
        text = path.read_text(encoding='ascii').strip()
        whole = len(bytes.fromhex(text)) * 2
    except OSError as error:
        raise keys.KeyFileError(f'{path}: {error.strerror}') from error
    except ValueError as error:
        raise keys.KeyFileError(f'{path}: not a key in hex') from error
    if whole != PRIVATE_KEY_HEX_DIGITS:
        raise keys.KeyFileError(
            f'{path}: needs {PRIVATE_KEY_HEX_DIGITS} hex digits; '
            'make it with "shallothinge keys operator"'
        )
    if path.stat().st_mode & OTHERS_MAY_READ:
        raise keys.KeyFileError(
            f'{path}: readable by others; run chmod 600 on it'
        )
    return text


def generate_api_key() -> ApiKey:
    """Return a new API key for a workspace."""
    key = API_KEY_PREFIX + secrets.token_urlsafe(API_KEY_BYTES)
    return ApiKey(key=key, key_hash=hashlib.sha256(key.encode()).hexdigest())
