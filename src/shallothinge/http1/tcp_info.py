"""Reads the state of a connection from ``struct tcp_info`` of Linux."""

import socket
import struct


def read_field(
    handle: socket.socket, *, offset: int, layout: str
) -> int | None:
    """Return the value of a field.

    :param offset: offset of the field in bytes.
    :param layout: format of the field, as in the ``struct`` module.
    :returns: None if the kernel does not report the field.
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
