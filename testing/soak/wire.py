"""What callers, backend servers and the operator of a soak speak."""

import asyncio
import hashlib

import attrs
import h11

# The service whose requests are streams; the other one's are calls.
STREAMS = 'llm'
CALLS = 'desk'
HOST = 'soak.example'
LEAST_EVENTS = 5
EVENT_SPREAD = 40
MAX_BYTES = 65_536


class BrokenAnswer(Exception):
    """An answer or a request that ended early or can't be read."""


@attrs.frozen(kw_only=True)
class Request:
    """A request as a backend server reads it."""

    target: str
    fields: dict[str, str]


@attrs.frozen(kw_only=True)
class Answer:
    """A whole answer."""

    status: int
    fields: dict[str, str]
    body: bytes


def signature_of(request_id: str) -> str:
    """Return the signature of the one who ran a request."""
    return 'signed-' + hashlib.sha256(request_id.encode()).hexdigest()[:16]


def event_count(target: str) -> int:
    """Return how many events the answer to a target has."""
    digest = hashlib.sha256(target.encode()).digest()
    return LEAST_EVENTS + digest[0] % EVENT_SPREAD


def event_of(target: str, number: int) -> bytes:
    """Return an event of the answer to a target."""
    return f'id: {number}\ndata: {target} {number}\n\n'.encode()


def body_of(target: str) -> bytes:
    """Return the body of the answer to a call."""
    return hashlib.sha256(target.encode()).hexdigest().encode()


def whole_stream(target: str) -> bytes:
    """Return the body of the whole answer to a streaming request."""
    numbers = range(1, event_count(target) + 1)
    return b''.join(event_of(target, number) for number in numbers)


def head_of(connection, status, fields) -> bytes:
    """Return the bytes of an answer's head."""
    return connection.send(
        h11.Response(
            status_code=status, headers=[*fields, ('connection', 'close')]
        )
    )


async def respond(connection, writer, status, fields, body) -> None:
    """Send a whole answer."""
    fields = [*fields, ('content-length', str(len(body)))]
    data = head_of(connection, status, fields)
    if body:
        data += connection.send(h11.Data(data=body))
    writer.write(data + connection.send(h11.EndOfMessage()))
    await writer.drain()


async def read_request(connection, reader) -> Request:
    """Read a whole request.

    :raises BrokenAnswer: if the connection ends before.
    """
    request = None
    while True:
        event = await _next_event(connection, lambda: reader.read(MAX_BYTES))
        if isinstance(event, h11.Request):
            request = Request(
                target=event.target.decode(), fields=_fields(event.headers)
            )
        elif isinstance(event, h11.EndOfMessage):
            return request
        elif isinstance(event, h11.ConnectionClosed):
            raise BrokenAnswer('closed before the end of the request')


async def exchange(
    *,
    address: str,
    method: str,
    target: str,
    fields: tuple[tuple[str, str], ...] = (),
    body: bytes = b'',
) -> Answer:
    """Send a request on a connection of its own; return the whole answer.

    :raises BrokenAnswer: if the answer ends early.
    :raises OSError: if there is no connection.
    """
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        return await _talk(reader, writer, method, target, fields, body)
    finally:
        writer.close()


async def _talk(reader, writer, method, target, fields, body) -> Answer:
    connection = h11.Connection(h11.CLIENT)
    headers = [
        ('host', HOST),
        ('content-length', str(len(body))),
        *fields,
    ]
    writer.write(request_bytes(connection, method, target, headers, body))
    await writer.drain()
    return await read_answer(connection, lambda: reader.read(MAX_BYTES))


def request_bytes(connection, method, target, headers, body) -> bytes:
    """Return the bytes of a whole request."""
    data = connection.send(
        h11.Request(method=method, target=target, headers=headers)
    )
    if body:
        data += connection.send(h11.Data(data=body))
    return data + connection.send(h11.EndOfMessage())


async def read_answer(connection, read) -> Answer:
    """Read a whole answer.

    :param read: returns some bytes, none at the end of the connection.
    :raises BrokenAnswer: if the answer ends early.
    :raises OSError: if the connection breaks.
    """
    head, content = None, b''
    while True:
        event = await _next_event(connection, read)
        if isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            content += event.data
        elif isinstance(event, h11.EndOfMessage):
            return Answer(
                status=head.status_code,
                fields=_fields(head.headers),
                body=content,
            )
        elif isinstance(event, h11.ConnectionClosed):
            raise BrokenAnswer('closed before the end of the answer')


async def _next_event(connection, read):
    while True:
        try:
            event = connection.next_event()
        except h11.RemoteProtocolError as error:
            raise BrokenAnswer(str(error)) from error
        if event is not h11.NEED_DATA:
            return event
        connection.receive_data(await read())


def _fields(headers) -> dict[str, str]:
    return {name.decode(): value.decode() for name, value in headers}
