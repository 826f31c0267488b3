"""Acknowledges that a backend server leaves only once that will hold."""

from collections.abc import Callable
import logging

import attrs
from twisted.internet import defer

from shallothinge import clock as clocks
from shallothinge import errors
from shallothinge.control import state
from shallothinge.membership import messages as membership

LOG = logging.getLogger(__name__)

# A server turns to another control host after a second without an answer.
WAIT_MS = 1000


@attrs.frozen(kw_only=True)
class _Waiting:
    """A departure that some holder may not have heard of yet."""

    server_id: str
    version: int
    since_ms: int
    in_force: defer.Deferred


class Departing:
    """Records departures and waits until no holder acts without them.

    :param propose: commits a command; returns a Deferred.
    :param read_waiting: returns who may still act under a state older than
        a version.
    """

    def __init__(
        self,
        *,
        machine: state.ControlState,
        clock: clocks.Clock,
        propose: Callable[[object], defer.Deferred],
        read_waiting: Callable[[int], tuple[str, ...]],
    ):
        self._machine = machine
        self._clock = clock
        self._propose = propose
        self._read_waiting = read_waiting
        self._waiting: list[_Waiting] = []

    def leave(self, *, server_id: str, incarnation: str) -> defer.Deferred:
        """Record a departure; a repeated one is known already.

        :param incarnation: '' if it is not known.
        :returns: fires with None once every holder has confirmed it or its
            lease has run out; fails if that takes too long or this host
            leads no more.
        """
        recorded = defer.succeed(None)
        if self._find(server_id, incarnation) is None:
            recorded = self._propose(
                membership.RecordDeparture(
                    server_id=server_id, incarnation=incarnation
                )
            )
        return recorded.addCallback(
            lambda _: self._wait(server_id, incarnation)
        )

    def _find(self, server_id: str, incarnation: str):
        return self._machine.data.departures.find(
            server_id=server_id, incarnation=incarnation
        )

    def _wait(self, server_id: str, incarnation: str) -> defer.Deferred:
        waiting = _Waiting(
            server_id=server_id,
            version=self._find(server_id, incarnation).index,
            since_ms=self._clock.now_ms(),
            in_force=defer.Deferred(),
        )
        self._waiting.append(waiting)
        self.check()
        return waiting.in_force

    def check(self) -> None:
        """Answer for what is in force by now; give up what takes too long."""
        waiting, self._waiting = self._waiting, []
        oldest_ms = self._clock.now_ms() - WAIT_MS
        for one in waiting:
            holders = self._read_waiting(one.version)
            if not holders:
                one.in_force.callback(None)
            elif one.since_ms >= oldest_ms:
                self._waiting.append(one)
            else:
                LOG.info(
                    'departure of a backend server is not in force yet',
                    extra={
                        'server_id': one.server_id,
                        'state_version': one.version,
                        'waiting_for': holders,
                    },
                )
                one.in_force.errback(_not_in_force('some holders may act'))

    def give_up(self) -> None:
        """Fail what waits: another host leads."""
        waiting, self._waiting = self._waiting, []
        for one in waiting:
            one.in_force.errback(_not_in_force('another host leads'))


def _not_in_force(detail: str) -> errors.ServingError:
    return errors.ServingError(
        kind=errors.ErrorKind.NOT_LEADER,
        detail=f'the departure is recorded but not in force: {detail}',
    )
