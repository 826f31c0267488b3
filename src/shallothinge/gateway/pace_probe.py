"""Measures the pace of the server of one attempt."""

from shallothinge.gateway import dependencies
from shallothinge.membership.model import BackendServer
from shallothinge.placement import choice
from shallothinge.placement import pace


class PaceProbe:
    """Times the events of one attempt.

    :param placed_ms: instant at which the server was chosen.
    """

    def __init__(
        self,
        *,
        parts: dependencies.Dependencies,
        placement: choice.Placement,
        placed_ms: int,
    ):
        self._parts = parts
        self._placement = placement
        self._placed_ms = placed_ms
        self._last_event_ms = 0
        self._idle_mark_ms: float | None = None

    def record_first_event(
        self,
        server: BackendServer,
        *,
        sent_after_ms: int | None,
        work_id: int,
    ) -> None:
        """Record the time to the first event as a measure of the server.

        The first event of a resumed stream comes after those that the caller
        has, so this is not to be called for it.

        :param sent_after_ms: time from the choice of the server until the
            request was sent, None if it is not known.
        """
        if sent_after_ms is None:
            return
        taken_ms = self._parts.clock.now_ms() - self._placed_ms
        first_event = pace.build_first_event(
            self._placement,
            measured_ms=taken_ms - sent_after_ms,
            assigned_since_ms=self._parts.load.assigned_since_ms(work_id),
            sent_after_ms=sent_after_ms,
        )
        self._parts.servers.record_first_event(server, first_event)

    def record_pause(
        self, server: BackendServer, *, event_count: int, work_id: int
    ) -> None:
        """Record the time since the last event if the server read nothing.

        :param event_count: events that arrived together, one for each pass.
        """
        mark_ms = self._parts.load.idle_mark_ms(work_id)
        is_idle = mark_ms is not None and mark_ms == self._idle_mark_ms
        if is_idle and self._placement.pass_ms:
            pause_ms = self._parts.clock.now_ms() - self._last_event_ms
            self._parts.servers.record_pause(
                server,
                measured_ms=pause_ms / event_count,
                pass_ms=self._placement.pass_ms,
            )

    def note_events(self, work_id: int) -> None:
        """Start to time the next pause."""
        self._last_event_ms = self._parts.clock.now_ms()
        self._idle_mark_ms = self._parts.load.idle_mark_ms(work_id)

    def note_pause(self) -> None:
        """Leave out the next pause, as the answer is not read meanwhile."""
        self._idle_mark_ms = None
