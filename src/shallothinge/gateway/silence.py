"""Tells a server that is reading a long prompt from one that has failed."""

import math

from shallothinge.gateway import attempt as attempts
from shallothinge.gateway import dependencies
from shallothinge.gateway import event_times
from shallothinge.gateway import model
from shallothinge.gateway import policy
from shallothinge.gateway import request_log
from shallothinge.gateway import timeouts
from shallothinge.placement import choice
from shallothinge.placement import demand


class SilenceWatch:
    """Judges the silence of the servers that one request is sent to.

    A server that reads a long prompt sends nothing to its other streams. The
    gateways know of the read, so it is looked up when a timeout expires.

    :param started_ms: instant at which the request arrived.
    """

    def __init__(
        self,
        *,
        parts: dependencies.Dependencies,
        accepted: model.AcceptedRequest,
        started_ms: int,
        times: event_times.EventTimes,
        log: request_log.RequestLog,
    ):
        self._parts = parts
        self._route = accepted.route
        self._limit_ms = accepted.time_limit_ms
        self._started_ms = started_ms
        self._times = times
        self._log = log

    @property
    def stall_timeout_ms(self) -> float:
        """Return when a stream is stalled, after its last event."""
        return timeouts.stall_timeout_ms(self._route)

    def expect_first_event(
        self, attempt: attempts.Attempt, placed: choice.Placement
    ) -> None:
        """Set the stall timeout of an attempt that starts."""
        attempt.stall.expect_within(
            timeouts.first_event_timeout_ms(
                route=self._route, expected_ms=placed.first_event_ms
            )
        )

    def waits_for_read(self, attempt: attempts.Attempt) -> bool:
        """Extend a timeout that has expired if a read explains the silence.

        :returns: False if another server should take over now.
        """
        read_ends_in_ms = self._read_ends_in_ms(attempt)
        wait_ms = math.ceil(
            min(
                timeouts.explained_ms(
                    route=self._route, read_ends_in_ms=read_ends_in_ms
                ),
                self._last_takeover_in_ms(),
            )
        )
        if wait_ms <= 0:
            return False
        attempt.stall.extend(wait_ms)
        self._log.waits_for_read(
            attempt, read_ends_in_ms=read_ends_in_ms, wait_ms=wait_ms
        )
        return True

    def record_stall(
        self,
        attempt: attempts.Attempt,
        *,
        no_takeover: policy.NoRetry | None,
        last_event_id: str,
    ) -> None:
        """Record a stall, which is no failure while a read explains it."""
        read_ends_in_ms = self._read_ends_in_ms(attempt)
        explained_ms = timeouts.explained_ms(
            route=self._route, read_ends_in_ms=read_ends_in_ms
        )
        if explained_ms > 0:
            attempt.stall.check_again(math.ceil(explained_ms))
        else:
            self._parts.servers.record_stall(attempt.server_id)
        self._log.stalled(
            attempt,
            no_takeover=no_takeover,
            last_event_id=last_event_id,
            read_ends_in_ms=read_ends_in_ms,
        )

    def _read_ends_in_ms(self, attempt: attempts.Attempt) -> int | None:
        ends_in_ms = self._parts.load.read_end_in_ms(
            attempt.server_id, min_read_ms=demand.LONG_READ_MS
        )
        return None if ends_in_ms is None else round(ends_in_ms)

    def _last_takeover_in_ms(self) -> int:
        """Return the time left until another server has to take over."""
        silent_since_ms = self._times.last_ms
        if silent_since_ms is None:
            silent_since_ms = self._started_ms
        latest_ms = timeouts.latest_takeover_ms(
            route=self._route,
            limit_ms=self._limit_ms,
            is_begun=self._times.last_ms is not None,
        )
        return silent_since_ms + latest_ms - self._parts.clock.now_ms()
