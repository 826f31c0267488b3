"""For how long received bytes have waited to be read."""

from shallothinge.http1 import tcp_info

# Of ``struct tcp_info``, the field ``tcpi_last_data_recv``.
LAST_DATA_OFFSET = 52
LAST_DATA_FORMAT = '=I'


def waited_ms(transport) -> int:
    """Return how long ago the kernel received a connection's last bytes.

    A process that was held up reads requests late, and can't tell by its
    own clock.

    :returns: milliseconds, 0 where the kernel does not tell.
    """
    get_handle = getattr(transport, 'getHandle', None)
    if get_handle is None:
        return 0
    waited = tcp_info.read_field(
        get_handle(), offset=LAST_DATA_OFFSET, layout=LAST_DATA_FORMAT
    )
    return waited or 0
