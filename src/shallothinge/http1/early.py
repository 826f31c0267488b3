"""A listening socket that is open before the program is loaded.

Loading the libraries takes some tenths of a second, in which a closed port
refuses callers; most of them come back only once. On an open one their
connections wait until the process takes them. Imports nothing but ``socket``.
"""

import socket

# Connections that may wait; those beyond are retried by the callers' kernels.
BACKLOG = 511


def open_listening(address: str) -> socket.socket:
    """Return a socket that listens on ``IP:PORT``.

    :raises OSError: if the address can't be used.
    """
    host, _, port = address.rpartition(':')
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.bind((host, int(port)))
        opened.listen(BACKLOG)
        opened.setblocking(False)
    except OSError:
        opened.close()
        raise
    return opened
