"""Tells which received bytes wait in the kernel, and for how long."""

import array
import fcntl
import termios

from shallothinge.http1 import tcp_info

# Position and format of ``tcpi_last_data_recv`` in ``struct tcp_info``.
LAST_DATA_OFFSET = 52
LAST_DATA_FORMAT = '=I'


def waited_ms(transport) -> int:
    """Return how long ago the kernel received a connection's last bytes.

    A process that was blocked reads requests late, and its own clock does
    not show when they arrived.

    :returns: milliseconds, 0 if the kernel does not report it.
    """
    get_handle = getattr(transport, 'getHandle', None)
    if get_handle is None:
        return 0
    waited = tcp_info.read_field(
        get_handle(), offset=LAST_DATA_OFFSET, layout=LAST_DATA_FORMAT
    )
    return waited or 0


def unread_bytes(transport) -> int:
    """Return how many received bytes the process has not read yet.

    :returns: 0 if the kernel does not report it.
    """
    get_handle = getattr(transport, 'getHandle', None)
    if get_handle is None:
        return 0
    unread = array.array('i', [0])
    try:
        fcntl.ioctl(get_handle(), termios.FIONREAD, unread)
    except OSError:
        return 0
    return unread[0]
