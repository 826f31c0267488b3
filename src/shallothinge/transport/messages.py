"""Messages that identify peers and check that a connection works."""

import attrs


@attrs.frozen(kw_only=True)
class Hello:
    """First message on a connection, sent by the side that opened it."""

    process_id: str
    incarnation: str


@attrs.frozen(kw_only=True)
class Ping:
    """Ask the peer to confirm that the connection still works."""


@attrs.frozen(kw_only=True)
class Pong:
    """Answer to ``Ping``."""


@attrs.frozen(kw_only=True)
class HelloRequested:
    """Answer to any message on a connection without a ``Hello``.

    The process at the address was replaced, and zmq reconnected the socket
    without notifying the application.
    """


MESSAGES = (Hello, Ping, Pong, HelloRequested)
