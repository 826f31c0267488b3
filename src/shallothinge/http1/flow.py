"""Holds a source back while the connection that it fills is full."""

from typing import Protocol

from twisted.internet import interfaces
from zope.interface import implementer


class Source(Protocol):
    """Where the bytes of an answer come from."""

    def pause(self) -> None:
        """Read no more until told to."""

    def resume(self) -> None:
        """Read on."""


@implementer(interfaces.IPushProducer)
class Flow:
    """Tells the source of an answer when its caller does not keep up.

    To be registered at the caller's connection, which calls it when more
    waits there than it wants to hold, and when that has left.
    """

    def __init__(self):
        self._source: Source | None = None
        self._is_full = False

    def follow(self, source: Source) -> None:
        """Hold this source back from now on, instead of an earlier one."""
        self._source = source
        if self._is_full:
            source.pause()

    def pauseProducing(self) -> None:
        """Hold the source back."""
        self._is_full = True
        if self._source is not None:
            self._source.pause()

    def resumeProducing(self) -> None:
        """Let the source go on."""
        self._is_full = False
        if self._source is not None:
            self._source.resume()

    def stopProducing(self) -> None:
        """Do nothing: the owner of the exchange hears of its end."""
