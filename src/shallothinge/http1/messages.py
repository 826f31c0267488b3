"""Heads of requests and responses."""

import attrs

Headers = tuple[tuple[str, str], ...]

# Hop-by-hop fields, which are not forwarded (RFC 9110, section 7.6.1).
CONNECTION_FIELDS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
    )
)


@attrs.frozen(kw_only=True)
class Limits:
    """Size and time limits for the requests of a caller."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@attrs.frozen(kw_only=True)
class RequestHead:
    """Request line and header fields; names are in lower case."""

    method: str
    target: str
    headers: Headers

    def get(self, name: str) -> str:
        """Return a field's value, or '' if it is missing."""
        return find(self.headers, name)


@attrs.frozen(kw_only=True)
class ResponseHead:
    """Status and header fields; names are in lower case."""

    status: int
    headers: Headers

    def get(self, name: str) -> str:
        """Return a field's value, or '' if it is missing."""
        return find(self.headers, name)


def find(headers: Headers, name: str) -> str:
    """Return the first value of a header field, or ''."""
    for other, value in headers:
        if other == name:
            return value
    return ''


def decode(headers) -> Headers:
    """Return header fields as text; h11 gives names in lower case."""
    return tuple(
        (name.decode('ascii'), value.decode('latin-1'))
        for name, value in headers
    )


def encode(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return header fields as bytes."""
    return [
        (name.encode('ascii'), value.encode('latin-1'))
        for name, value in headers
    ]


def end_to_end(headers: Headers) -> Headers:
    """Return the end-to-end fields, which are forwarded.

    Drops the hop-by-hop fields, also those that ``Connection`` lists.
    """
    listed = {
        name.strip().lower()
        for field, value in headers
        if field == 'connection'
        for name in value.split(',')
    }
    return tuple(
        (name, value)
        for name, value in headers
        if name not in CONNECTION_FIELDS and name not in listed
    )
