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


MESSAGES = (Hello, Ping, Pong)
