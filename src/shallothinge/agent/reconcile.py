"""Releases what the engine holds without an owner here.

After a restart of the agent nothing that the engine holds has an owner;
afterwards a lost cancellation leaves something behind.
"""

from collections.abc import Iterable
import enum

import attrs

from shallothinge import clock

FIRST_RETRY_MS = 200
LAST_RETRY_MS = 5000


class Collection(enum.Enum):
    """What an engine holds, by the path that lists it."""

    STREAMS = 'streams'
    RESERVATIONS = 'reservations'
    EXPORTS = 'kv/exports'


@attrs.frozen(kw_only=True)
class Holding:
    """One thing that the engine holds."""

    collection: Collection
    identifier: str


@attrs.define(kw_only=True)
class _Pending:
    due_ms: int
    retry_ms: int = FIRST_RETRY_MS
    asked: bool = False


def without_owner(
    *,
    collection: Collection,
    listed: Iterable[str],
    owned: frozenset[str],
) -> tuple[Holding, ...]:
    """Return what is listed but not owned."""
    return tuple(
        Holding(collection=collection, identifier=identifier)
        for identifier in listed
        if identifier not in owned
    )


class SilenceCheck:
    """Finds streams whose connection no longer brings what is there."""

    def __init__(self):
        self._behind: dict[str, int] = {}

    def check(
        self, *, listed: dict[str, int], held: dict[str, int]
    ) -> frozenset[str]:
        """Compare the engine's offsets with those that arrived here.

        A stream that the engine no longer lists counts as ahead.

        :param listed: the engine's offset by stream.
        :param held: the offset that arrived here by stream.
        :returns: streams that were behind at the last check too and have
            not moved since.
        """
        behind = {
            name: offset
            for name, offset in held.items()
            if listed.get(name, offset + 1) > offset
        }
        silent = {
            name
            for name, offset in behind.items()
            if self._behind.get(name) == offset
        }
        self._behind = behind
        return frozenset(silent)


class ReleaseQueue:
    """Holdings to release, each asked for again until confirmed."""

    def __init__(self, *, clock: clock.Clock):
        self._clock = clock
        self._pending: dict[Holding, _Pending] = {}

    def __len__(self) -> int:
        """Return the number of releases that are not confirmed."""
        return len(self._pending)

    def add(self, holding: Holding) -> None:
        """Release a holding, beginning now."""
        now_ms = self._clock.now_ms()
        self._pending.setdefault(holding, _Pending(due_ms=now_ms))

    def due(self) -> tuple[Holding, ...]:
        """Return the releases to ask for now; they count as asked."""
        now_ms = self._clock.now_ms()
        due = []
        for holding, pending in self._pending.items():
            if not pending.asked and now_ms >= pending.due_ms:
                pending.asked = True
                due.append(holding)
        return tuple(due)

    def confirmed(self, holding: Holding) -> bool:
        """Note that the engine no longer holds it.

        :returns: whether the release was pending.
        """
        return self._pending.pop(holding, None) is not None

    def failed(self, holding: Holding) -> None:
        """Note that it is not known whether the release took place."""
        pending = self._pending.get(holding)
        if pending is None:
            return
        pending.asked = False
        pending.due_ms = self._clock.now_ms() + pending.retry_ms
        pending.retry_ms = min(LAST_RETRY_MS, pending.retry_ms * 2)

    def all(self) -> tuple[Holding, ...]:
        """Return every release that is not confirmed."""
        return tuple(self._pending)
