"""What the kernel tells of a connection in ``struct tcp_info`` of Linux."""

import socket
import struct


def read_field(
    handle: socket.socket, *, offset: int, layout: str
) -> int | None:
    """Return one field.

    :param offset: where the field begins, in bytes.
    :param layout: its format, as of ``struct``.
    :returns: None where the kernel does not tell.
    """
    option = getattr(socket, 'TCP_INFO', None)
    if option is None:
        return None
    length = offset + struct.calcsize(layout)
    try:
        info = handle.getsockopt(socket.IPPROTO_TCP, option, length)
    except OSError:
        return None
    if len(info) < length:
        return None
    return struct.unpack_from(layout, info, offset)[0]
