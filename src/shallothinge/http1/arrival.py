"""For how long received bytes have waited to be read."""

import socket
import struct

# Of ``struct tcp_info``, the field ``tcpi_last_data_recv``.
LAST_DATA_OFFSET = 52
LAST_DATA = struct.Struct('=I')
INFO_BYTES = LAST_DATA_OFFSET + LAST_DATA.size


def waited_ms(transport) -> int:
    """Return how long ago the kernel received a connection's last bytes.

    A process that was held up reads requests late, and can't tell by its
    own clock.

    :returns: milliseconds, 0 where the kernel does not tell.
    """
    option = getattr(socket, 'TCP_INFO', None)
    get_handle = getattr(transport, 'getHandle', None)
    if option is None or get_handle is None:
        return 0
    try:
        info = get_handle().getsockopt(socket.IPPROTO_TCP, option, INFO_BYTES)
    except OSError:
        return 0
    if len(info) < INFO_BYTES:
        return 0
    return LAST_DATA.unpack_from(info, LAST_DATA_OFFSET)[0]
