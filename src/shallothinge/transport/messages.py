"""Messages that keep a connection alive and name its ends."""

import attrs


@attrs.frozen(kw_only=True)
class Hello:
    """First message on a connection, from the end that opened it."""

    process_id: str
    incarnation: str


@attrs.frozen(kw_only=True)
class Ping:
    """Ask the other end to show that the connection still works."""


@attrs.frozen(kw_only=True)
class Pong:
    """Answer to ``Ping``."""


@attrs.frozen(kw_only=True)
class HelloRequested:
    """Answer to any message on a connection without a ``Hello``.

    The process behind the address was replaced, and the connection was
    made again without its user being told.
    """


MESSAGES = (Hello, Ping, Pong, HelloRequested)
