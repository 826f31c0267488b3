"""Opens the listening socket before the program is loaded.

Loading the libraries takes some tenths of a second. During this time a closed
port refuses connections, and most callers retry only once. On an open port
connections wait in the backlog until the process accepts them. This module
imports nothing but ``socket``, so that it loads at once.
"""

import socket

# Connections that may wait to be accepted. The callers' kernels retry any
# beyond these.
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
