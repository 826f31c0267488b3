"""Builds the load reports and status messages that entries get."""

from collections.abc import Iterable

from shallothinge import clock
from shallothinge.agent import model
from shallothinge.streams import messages

STATUS_MS = 200
QUIET_MS = 2000


class CacheView:
    """The blocks in the engine's prefix cache, from late, gapped events."""

    def __init__(self):
        self.blocks: set[str] = set()
        self.sequence = 0
        self.needs_listing = True
        self._added: set[str] = set()
        self._removed: set[str] = set()

    def take_events(self, events: Iterable[model.CacheEvent]) -> None:
        """Apply events in order; after a gap a listing is needed."""
        for event in sorted(events, key=lambda event: event.sequence):
            if event.sequence <= self.sequence:
                continue
            if event.sequence != self.sequence + 1:
                self.needs_listing = True
                return
            self.sequence = event.sequence
            if event.op == 'added':
                self._change({event.block}, set())
            else:
                self._change(set(), {event.block})

    def take_listing(self, listing: model.CacheListing) -> None:
        """Replace the view by a whole listing."""
        blocks = set(listing.blocks)
        self._change(blocks - self.blocks, self.blocks - blocks)
        self.sequence = listing.sequence
        self.needs_listing = False

    def reset(self) -> None:
        """Forget all: the engine has restarted."""
        self._change(set(), set(self.blocks))
        self.sequence = 0
        self.needs_listing = True

    def take_changes(self) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Return and forget the blocks added and removed since last."""
        added, removed = self._added, self._removed
        self._added, self._removed = set(), set()
        return tuple(sorted(added)), tuple(sorted(removed))

    @property
    def has_changes(self) -> bool:
        """Return whether there are changes that were not taken."""
        return bool(self._added or self._removed)

    def _change(self, added: set[str], removed: set[str]) -> None:
        self.blocks |= added
        self.blocks -= removed
        self._added = (self._added | added) - removed
        self._removed = (self._removed | removed) - added


class StatusBuilder:
    """Decides when a status is due and what it holds."""

    def __init__(self, *, clock: clock.Clock, cache: CacheView):
        self._clock = clock
        self._cache = cache
        self._sequence = 0
        self._sent_ms = None
        self._load = None
        self._stopping = False

    def next_status(
        self, *, load: messages.LoadReport, stopping: bool
    ) -> messages.AgentStatus | None:
        """Return the status to send to every entry now, if one is due."""
        if not self._is_due(load, stopping):
            return None
        added, removed = self._cache.take_changes()
        self._sequence += 1
        self._sent_ms = self._clock.now_ms()
        self._load = load
        self._stopping = stopping
        return messages.AgentStatus(
            load=load,
            sequence=self._sequence,
            stopping=stopping,
            cached_added=added,
            cached_removed=removed,
        )

    def full_status(
        self, *, load: messages.LoadReport, stopping: bool
    ) -> messages.AgentStatus:
        """Return a status for one entry that knows nothing.

        Changes that are not sent yet follow with the next status.
        """
        return messages.AgentStatus(
            load=load,
            sequence=self._sequence,
            stopping=stopping,
            cached_added=tuple(sorted(self._cache.blocks)),
            full_listing=True,
        )

    def _is_due(self, load: messages.LoadReport, stopping: bool) -> bool:
        if self._sent_ms is None:
            return True
        elapsed_ms = self._clock.now_ms() - self._sent_ms
        if elapsed_ms < STATUS_MS:
            return False
        changed = load != self._load or stopping != self._stopping
        return changed or self._cache.has_changes or elapsed_ms >= QUIET_MS
