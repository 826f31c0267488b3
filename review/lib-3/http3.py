"""Small HTTP/1.1 helpers for the stand-ins: no more than they need."""

import asyncio


class Broken(Exception):
    """The connection ended before the message was complete."""


async def read_head(reader):
    """Return the first line and the header fields, names in lower case.

    :raises Broken: if the connection ends before.
    """
    try:
        block = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, OSError) as error:
        raise Broken(str(error)) from error
    first, *lines = block[:-4].decode('latin-1').split('\r\n')
    fields = {}
    for line in lines:
        name, _, value = line.partition(':')
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_chunks(reader):
    """Yield the chunks of a chunked body."""
    while True:
        try:
            size = int((await reader.readline()).split(b';')[0], 16)
            data = await reader.readexactly(size + 2)
        except (ValueError, asyncio.IncompleteReadError, OSError) as error:
            raise Broken(str(error)) from error
        if not size:
            return
        yield data[:-2]


async def read_body(reader, fields):
    """Return the body of a message that has a length or chunks."""
    if 'chunked' in fields.get('transfer-encoding', ''):
        return b''.join([chunk async for chunk in read_chunks(reader)])
    try:
        return await reader.readexactly(int(fields.get('content-length', 0)))
    except (asyncio.IncompleteReadError, OSError) as error:
        raise Broken(str(error)) from error


def write_head(first, fields):
    """Return the bytes of a head."""
    lines = [first, *(f'{name}: {value}' for name, value in fields)]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


async def call(address, method, target, fields=(), body=b'', *, limit_s=1.0):
    """Send one request on a channel of its own; return status, fields, body.

    :raises Broken: if no whole answer comes in time.
    """
    async def talk():
        reader, writer = await asyncio.open_connection(*address)
        try:
            head = [('Content-Length', len(body)), *fields]
            if not any(name == 'Host' for name, _ in fields):
                head.append(('Host', 'x'))
            writer.write(write_head(f'{method} {target} HTTP/1.1', head))
            writer.write(body)
            first, found = await read_head(reader)
            return int(first.split()[1]), found, await read_body(reader, found)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(talk(), limit_s)
    except (OSError, asyncio.TimeoutError) as error:
        raise Broken(repr(error)) from error
