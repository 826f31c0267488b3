"""File format of frames with checksums, one frame for each synced write.

A file begins with a magic number and a random salt. The salt is part of
each checksum, so that bytes inside a payload are never mistaken for a
frame. As each write is one frame and is synced before the next, a crash can
only leave the last frame incomplete.
"""

import secrets
import struct
import zlib

import attrs

FILE_MAGIC = b'SHLTLOG1'
SALT_BYTES = 8
HEADER_BYTES = len(FILE_MAGIC) + SALT_BYTES
FRAME_MAGIC = b'\xf5FRM'
_LENGTH = struct.Struct('>I')
_CHECKSUM = struct.Struct('>I')
FRAME_HEADER_BYTES = len(FRAME_MAGIC) + _LENGTH.size + _CHECKSUM.size


@attrs.frozen(kw_only=True)
class Scan:
    """The result of reading the frames of a file.

    ``valid_bytes`` is the size of the file up to its first invalid frame.
    ``damaged`` means that a valid frame follows after that point, so the
    invalid bytes are not just an incomplete last write.
    """

    payloads: tuple[bytes, ...]
    valid_bytes: int
    damaged: bool


def new_salt() -> bytes:
    """Return a random salt for a new file."""
    return secrets.token_bytes(SALT_BYTES)


def encode_header(*, salt: bytes) -> bytes:
    """Return the header of a file: the magic number and the salt."""
    return FILE_MAGIC + salt


def salt_of(data: bytes) -> bytes | None:
    """Return the salt of a file, or None if its header is invalid."""
    if len(data) < HEADER_BYTES or not data.startswith(FILE_MAGIC):
        return None
    return data[len(FILE_MAGIC) : HEADER_BYTES]


def encode_frame(payload: bytes, *, salt: bytes) -> bytes:
    """Return one frame: magic number, length, checksum and payload."""
    length = _LENGTH.pack(len(payload))
    checksum = _CHECKSUM.pack(_checksum(length, payload, salt=salt))
    return FRAME_MAGIC + length + checksum + payload


def scan(data: bytes, *, salt: bytes) -> Scan:
    """Read the frames of a file up to the first invalid one."""
    payloads = []
    offset = HEADER_BYTES
    while offset < len(data):
        payload = _frame_at(data, offset, salt=salt)
        if payload is None:
            break
        payloads.append(payload)
        offset += FRAME_HEADER_BYTES + len(payload)
    return Scan(
        payloads=tuple(payloads),
        valid_bytes=offset,
        damaged=_has_frame_after(data, offset, salt=salt),
    )


def _checksum(length: bytes, payload: bytes, *, salt: bytes) -> int:
    return zlib.crc32(payload, zlib.crc32(length, zlib.crc32(salt)))


def _frame_at(data: bytes, offset: int, *, salt: bytes) -> bytes | None:
    header = data[offset : offset + FRAME_HEADER_BYTES]
    if len(header) < FRAME_HEADER_BYTES:
        return None
    if not header.startswith(FRAME_MAGIC):
        return None
    length = header[len(FRAME_MAGIC) : len(FRAME_MAGIC) + _LENGTH.size]
    start = offset + FRAME_HEADER_BYTES
    payload = data[start : start + _LENGTH.unpack(length)[0]]
    if len(payload) < _LENGTH.unpack(length)[0]:
        return None
    expected = _CHECKSUM.unpack(header[-_CHECKSUM.size :])[0]
    if _checksum(length, payload, salt=salt) != expected:
        return None
    return payload


def _has_frame_after(data: bytes, offset: int, *, salt: bytes) -> bool:
    found = data.find(FRAME_MAGIC, offset + 1)
    while found != -1:
        if _frame_at(data, found, salt=salt) is not None:
            return True
        found = data.find(FRAME_MAGIC, found + 1)
    return False
