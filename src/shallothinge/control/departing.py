"""Acknowledges the departure of a backend server once it is in force.

A departure is in force when no lease holder may still act on a state
without it.
"""

from collections.abc import Callable
import logging

import attrs
from twisted.internet import defer

from shallothinge import clock as clocks
from shallothinge import errors
from shallothinge.control import state
from shallothinge.membership import departures
from shallothinge.membership import messages as membership

LOG = logging.getLogger(__name__)

# A server that has no answer after 1 s turns to another control host.
IN_FORCE_TIMEOUT_MS = 1000


@attrs.frozen(kw_only=True)
class _PendingDeparture:
    """A departure that some lease holder may not know of yet."""

    server_id: str
    version: int
    since_ms: int
    in_force: defer.Deferred


class DepartureTracker:
    """Records departures and waits until each one is in force.

    :param propose: commits a command; returns a Deferred.
    :param read_unconfirmed_holders: returns the ids of the lease holders that
        may still act on a state older than a version.
    """

    def __init__(
        self,
        *,
        machine: state.ControlState,
        clock: clocks.Clock,
        propose: Callable[[object], defer.Deferred],
        read_unconfirmed_holders: Callable[[int], tuple[str, ...]],
    ):
        self._machine = machine
        self._clock = clock
        self._propose = propose
        self._read_unconfirmed_holders = read_unconfirmed_holders
        self._pending: list[_PendingDeparture] = []

    def record_departure(
        self, command: membership.RecordDeparture
    ) -> defer.Deferred:
        """Record a departure unless it is recorded already.

        :returns: a Deferred. It fires with None once each lease holder has
            confirmed the departure or its lease has expired. It fails
            after ``IN_FORCE_TIMEOUT_MS``, or if this host is no longer the
            leader.
        """
        recorded = defer.succeed(None)
        if self._departures.find_recorded(command) is None:
            recorded = self._propose(command)
        return recorded.addCallback(
            lambda _: self._wait_until_in_force(command)
        )

    @property
    def _departures(self) -> departures.Departures:
        return self._machine.data.departures

    def _wait_until_in_force(
        self, command: membership.RecordDeparture
    ) -> defer.Deferred:
        departure = _PendingDeparture(
            server_id=command.server_id,
            version=self._departures.first_index(command),
            since_ms=self._clock.now_ms(),
            in_force=defer.Deferred(),
        )
        self._pending.append(departure)
        self.resolve_pending()
        return departure.in_force

    def resolve_pending(self) -> None:
        """Answer departures that are in force; fail those that timed out."""
        pending, self._pending = self._pending, []
        oldest_ms = self._clock.now_ms() - IN_FORCE_TIMEOUT_MS
        for departure in pending:
            holders = self._read_unconfirmed_holders(departure.version)
            if not holders:
                departure.in_force.callback(None)
            elif departure.since_ms >= oldest_ms:
                self._pending.append(departure)
            else:
                LOG.info(
                    'timed out before a server departure was in force',
                    extra={
                        'server_id': departure.server_id,
                        'state_version': departure.version,
                        'waiting_for': holders,
                    },
                )
                departure.in_force.errback(
                    _not_in_force('some holders may act')
                )

    def fail_pending(self) -> None:
        """Fail all pending departures, since another host is the leader."""
        pending, self._pending = self._pending, []
        for departure in pending:
            departure.in_force.errback(_not_in_force('another host leads'))


def _not_in_force(detail: str) -> errors.ServingError:
    return errors.ServingError(
        kind=errors.ErrorKind.NOT_LEADER,
        detail=f'the departure is recorded but not in force: {detail}',
    )
