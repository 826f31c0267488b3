"""CURVE key pairs of processes, and the list of trusted public keys.

A key file is TOML with ``role``, ``public`` and ``secret``. The trust file
is TOML with one array of public keys for each role. It need not list every
backend server of the fleet, because agents may share the key of their role.
"""

import os
import pathlib
import tomllib

import attrs
import zmq

ROLES = ('control', 'entry', 'agent', 'operator')
SECRET_FILE_MODE = 0o600
PUBLIC_FILE_MODE = 0o644


class KeyFileError(ValueError):
    """A key or trust file is unusable; the message says how to fix it."""


@attrs.frozen(kw_only=True)
class KeyPair:
    """A process's own CURVE key pair, as Z85 text."""

    role: str
    public: str
    secret: str = attrs.field(repr=False)


@attrs.frozen(kw_only=True)
class Trust:
    """Public keys that are trusted, by role."""

    role_by_key: dict[str, str]

    def role_of(self, *, public: str) -> str:
        """Return the role of a public key, or '' if it is not trusted."""
        return self.role_by_key.get(public, '')

    def key_of(self, *, role: str) -> str:
        """Return a public key of a role.

        :raises KeyFileError: if no key of the role is trusted.
        """
        for public, owner in self.role_by_key.items():
            if owner == role:
                return public
        raise KeyFileError(f'the trust file lists no key for role {role}')


def generate_key_pair(*, role: str) -> KeyPair:
    """Return a new key pair for a role."""
    public, secret = zmq.curve_keypair()
    return KeyPair(role=role, public=public.decode(), secret=secret.decode())


def write_file(*, path: pathlib.Path, text: str, mode: int) -> None:
    """Create a file with its mode set before anything is written.

    :raises FileExistsError: if the file exists; keys are not overwritten.
    """
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    descriptor = os.open(path, flags, mode)
    with os.fdopen(descriptor, 'w', encoding='utf-8') as handle:
        handle.write(text)


def write_key_pair(*, path: pathlib.Path, pair: KeyPair) -> None:
    """Write a key pair, readable by its owner only."""
    text = (
        f'role = "{pair.role}"\n'
        f"public = '{pair.public}'\n"
        f"secret = '{pair.secret}'\n"
    )
    write_file(path=path, text=text, mode=SECRET_FILE_MODE)


def write_trust(*, path: pathlib.Path, pairs: tuple[KeyPair, ...]) -> None:
    """Write the trust file that lists the pairs' public keys."""
    lines = ['[roles]']
    for role in ROLES:
        keys = [f"'{pair.public}'" for pair in pairs if pair.role == role]
        lines.append(f'{role} = [{", ".join(keys)}]')
    text = '\n'.join(lines) + '\n'
    write_file(path=path, text=text, mode=PUBLIC_FILE_MODE)


def write_deployment(
    *, folder: pathlib.Path, roles: tuple[str, ...]
) -> tuple[pathlib.Path, ...]:
    """Write a key pair for each role, and a trust file with all of them.

    :returns: the paths of the key pair files.
    """
    pairs = tuple(generate_key_pair(role=role) for role in roles)
    paths = tuple(folder / f'{pair.role}.key' for pair in pairs)
    for path, pair in zip(paths, pairs, strict=True):
        write_key_pair(path=path, pair=pair)
    write_trust(path=folder / 'trust.toml', pairs=pairs)
    return paths


def _read_toml(path: pathlib.Path) -> dict:
    try:
        return tomllib.loads(path.read_text(encoding='utf-8'))
    except OSError as error:
        raise KeyFileError(f'{path}: {error.strerror}') from error
    except tomllib.TOMLDecodeError as error:
        raise KeyFileError(f'{path}: {error}') from error


def read_key_pair(*, path: pathlib.Path, is_private: bool = True) -> KeyPair:
    """Read a key pair.

    :param is_private: whether other users of the host must not be able to
        read the file.
    :raises KeyFileError: if the file is missing, malformed or readable by
        others.
    """
    fields = _read_toml(path)
    if is_private and path.stat().st_mode & 0o077:
        raise KeyFileError(f'{path}: readable by others; run chmod 600 on it')
    try:
        return KeyPair(**fields)
    except TypeError as error:
        raise KeyFileError(
            f'{path}: needs role, public and secret; '
            'make it with "shallothinge keys"'
        ) from error


def read_trust(*, path: pathlib.Path) -> Trust:
    """Read the trust file.

    :raises KeyFileError: if the file is missing or malformed.
    """
    roles = _read_toml(path).get('roles', {})
    role_by_key = {}
    for role, keys in roles.items():
        if role not in ROLES:
            raise KeyFileError(
                f'{path}: unknown role {role}; allowed: {", ".join(ROLES)}'
            )
        for public in keys:
            role_by_key[public] = role
    return Trust(role_by_key=role_by_key)
