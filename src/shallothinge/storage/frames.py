"""File format of frames with checksums, one frame for each synced write.

A file begins with a magic number and a random salt. The salt is part of
each checksum, so that bytes inside a payload are never mistaken for a
frame. As each write is one frame and is synced before the next, a crash can
only leave the last frame incomplete.
"""

import os
import secrets
import struct
from typing import BinaryIO
import zlib

import attrs

FILE_MAGIC = b'SHLTLOG1'
SALT_BYTES = 8
HEADER_BYTES = len(FILE_MAGIC) + SALT_BYTES
FRAME_MAGIC = b'\xf5FRM'
_LENGTH = struct.Struct('>I')
_CHECKSUM = struct.Struct('>I')
FRAME_HEADER_BYTES = len(FRAME_MAGIC) + _LENGTH.size + _CHECKSUM.size
CHUNK_BYTES = 64 * 1024


@attrs.frozen(kw_only=True)
class Span:
    """The position of a payload in its file."""

    offset_bytes: int
    size_bytes: int


@attrs.frozen(kw_only=True)
class Scan:
    """The frames of a file, without their payloads.

    ``spans`` are the payloads of the valid frames, ``valid_bytes`` is the
    size of the file up to its first invalid frame.
    ``damaged`` means that a valid frame follows after that point, so the
    invalid bytes are not just an incomplete last write.
    """

    spans: tuple[Span, ...]
    valid_bytes: int
    damaged: bool


class SpanReader:
    """Reads the payload at a span; nothing else may read the file meanwhile.

    :ivar left_bytes: how much was not read yet; if the end of the file has
        been reached, how much it lacks.
    """

    def __init__(self, *, file: BinaryIO, span: Span):
        self._file = file
        self.left_bytes = span.size_bytes
        file.seek(span.offset_bytes)

    def read(self, size_bytes: int) -> bytes:
        """Return at most the next ``size_bytes``, nothing at the end."""
        data = self._file.read(min(size_bytes, self.left_bytes))
        self.left_bytes -= len(data)
        return data


def new_salt() -> bytes:
    """Return a random salt for a new file."""
    return secrets.token_bytes(SALT_BYTES)


def encode_header(*, salt: bytes) -> bytes:
    """Return the header of a file: the magic number and the salt."""
    return FILE_MAGIC + salt


def read_salt(file: BinaryIO) -> bytes | None:
    """Return the salt of a file, or None if its header is invalid."""
    file.seek(0)
    header = file.read(HEADER_BYTES)
    if len(header) < HEADER_BYTES or not header.startswith(FILE_MAGIC):
        return None
    return header[len(FILE_MAGIC) :]


def encode_frame_header(payload: bytes, *, salt: bytes) -> bytes:
    """Return what precedes a payload: magic number, length, checksum."""
    length = _LENGTH.pack(len(payload))
    checksum = zlib.crc32(payload, _checksum_of_length(length, salt=salt))
    return FRAME_MAGIC + length + _CHECKSUM.pack(checksum)


def encode_frame(payload: bytes, *, salt: bytes) -> bytes:
    """Return one frame: its header and the payload."""
    return encode_frame_header(payload, salt=salt) + payload


def scan(file: BinaryIO, *, salt: bytes) -> Scan:
    """Check the frames of a file up to the first invalid one.

    Payloads are read in chunks, so that the memory that this takes does not
    depend on the size of the file or of a frame.
    """
    size_bytes = file.seek(0, os.SEEK_END)
    spans = []
    offset = HEADER_BYTES
    while offset < size_bytes:
        span = _span_at(file, offset, salt=salt)
        if span is None:
            break
        spans.append(span)
        offset = span.offset_bytes + span.size_bytes
    return Scan(
        spans=tuple(spans),
        valid_bytes=offset,
        damaged=_has_frame_after(file, offset, salt=salt),
    )


def _checksum_of_length(length: bytes, *, salt: bytes) -> int:
    return zlib.crc32(length, zlib.crc32(salt))


def _span_at(file: BinaryIO, offset: int, *, salt: bytes) -> Span | None:
    file.seek(offset)
    header = file.read(FRAME_HEADER_BYTES)
    if len(header) < FRAME_HEADER_BYTES:
        return None
    if not header.startswith(FRAME_MAGIC):
        return None
    length = header[len(FRAME_MAGIC) : len(FRAME_MAGIC) + _LENGTH.size]
    span = Span(
        offset_bytes=offset + FRAME_HEADER_BYTES,
        size_bytes=_LENGTH.unpack(length)[0],
    )
    checksum = _checksum_of_length(length, salt=salt)
    payload = SpanReader(file=file, span=span)
    while chunk := payload.read(CHUNK_BYTES):
        checksum = zlib.crc32(chunk, checksum)
    expected = _CHECKSUM.unpack(header[-_CHECKSUM.size :])[0]
    is_whole = not payload.left_bytes and checksum == expected
    return span if is_whole else None


def _has_frame_after(file: BinaryIO, offset: int, *, salt: bytes) -> bool:
    found = _find_magic(file, offset + 1)
    while found is not None:
        if _span_at(file, found, salt=salt) is not None:
            return True
        found = _find_magic(file, found + 1)
    return False


def _find_magic(file: BinaryIO, offset: int) -> int | None:
    """Return the position of the next magic number, None if there is none."""
    while True:
        file.seek(offset)
        chunk = file.read(CHUNK_BYTES)
        found = chunk.find(FRAME_MAGIC)
        if found != -1:
            return offset + found
        if len(chunk) < CHUNK_BYTES:
            return None
        # The magic number may begin at the end of this chunk.
        offset += len(chunk) - len(FRAME_MAGIC) + 1
