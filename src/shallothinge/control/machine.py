"""Interface of the state machine that the replicated log drives."""

from typing import Protocol


class StateMachine(Protocol):
    """State that depends on the commands in the log alone.

    It must not read a clock or use randomness: each replica applies the same
    commands and must reach the same state.
    """

    def apply(self, *, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its answer."""

    def snapshot(self) -> bytes:
        """Return the whole state in serialized form."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state with one that ``snapshot`` returned."""
