"""What a request needs of the servers of its service."""

import attrs

from shallothinge.routes import model

# Shorter reads are not divided; a helper would not pay off.
SPLIT_READ_MS = 100.0
# Reads of at least this duration wait until their servers have finished
# earlier reads. Shorter reads delay no stream beyond its allowed pause.
LONG_READ_MS = 200.0


@attrs.frozen(kw_only=True)
class Demand:
    """A request to be placed on servers of one service.

    ``objective_ms`` is the time left until the first event or answer is due,
    0 or less if it is late already. ``patience_ms`` is the time left until
    the caller abandons the request, None if unknown. ``answer_tokens`` is
    the maximum length of the answer. ``is_resumed`` is set if the caller
    already has a part of the answer.
    """

    service: model.Service
    tokens: int
    answer_tokens: int = 0
    objective_ms: float
    patience_ms: float | None = None
    pause_objective_ms: int
    zone: str
    is_resumed: bool = False

    @property
    def waits_for_reads(self) -> bool:
        """Return whether its servers must have finished all earlier reads."""
        engine = self.service.engine
        return (
            engine is not None
            and not self.is_resumed
            and engine.read_ms(self.tokens) >= LONG_READ_MS
        )

    @property
    def needed_tokens(self) -> int:
        """Return the maximum tokens that the request holds in memory."""
        return self.tokens + self.answer_tokens

    @property
    def is_large(self) -> bool:
        """Return whether it needs more memory than that of one slot."""
        engine = self.service.engine
        return engine is not None and (
            self.needed_tokens > engine.memory_tokens / engine.slots
        )

    @property
    def is_divisible(self) -> bool:
        """Return whether several servers may read parts of its prompt."""
        engine = self.service.engine
        return engine is not None and (
            engine.read_ms(self.tokens) >= SPLIT_READ_MS
        )
