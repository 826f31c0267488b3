"""Acknowledges that a backend server leaves only once that will hold."""

from collections.abc import Callable

from twisted.internet import defer

from shallothinge.control import state
from shallothinge.membership import messages as membership


class Departing:
    """Records departures in the replicated log.

    :param propose: commits a command; returns a Deferred.
    """

    def __init__(
        self,
        *,
        machine: state.ControlState,
        propose: Callable[[object], defer.Deferred],
    ):
        self._machine = machine
        self._propose = propose

    def leave(self, *, server_id: str, incarnation: str) -> defer.Deferred:
        """Record a departure; a repeated one is known already.

        :param incarnation: '' if it is not known.
        :returns: fires with None when a majority holds the record.
        """
        known = self._machine.data.departures.find(
            server_id=server_id, incarnation=incarnation
        )
        if known is not None:
            return defer.succeed(None)
        recorded = self._propose(
            membership.RecordDeparture(
                server_id=server_id, incarnation=incarnation
            )
        )
        return recorded.addCallback(lambda _: None)
