"""Flow control: pauses a source while the caller's buffer is full."""

from typing import Protocol

from twisted.internet import interfaces
from zope.interface import implementer


class Source(Protocol):
    """Produces the bytes of an answer."""

    def pause(self) -> None:
        """Stop reading until ``resume`` is called."""

    def resume(self) -> None:
        """Continue reading."""


@implementer(interfaces.IPushProducer)
class Flow:
    """Applies backpressure from a caller to the source of its answer.

    Register it as the push producer of the caller's transport. The transport
    pauses it when its write buffer is full and resumes it when the buffer is
    empty.
    """

    def __init__(self):
        self._source: Source | None = None
        self._is_full = False

    def set_source(self, source: Source) -> None:
        """Control this source from now on, in place of the previous one."""
        self._source = source
        if self._is_full:
            source.pause()

    def pauseProducing(self) -> None:
        """Pause the source."""
        self._is_full = True
        if self._source is not None:
            self._source.pause()

    def resumeProducing(self) -> None:
        """Resume the source."""
        self._is_full = False
        if self._source is not None:
            self._source.resume()

    def stopProducing(self) -> None:
        """Do nothing: the owner of the exchange is told of its end."""
