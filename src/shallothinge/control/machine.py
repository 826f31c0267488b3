"""What the replicated log drives."""

from typing import Protocol


class StateMachine(Protocol):
    """State that is a function of the log's commands alone.

    It must not read clocks or randomness: each replica applies the same
    commands and has to come to the same state.
    """

    def apply(self, *, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its answer."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state by one that ``snapshot`` returned."""
