"""Commands that a leader proposes itself: holder expiry and pruning."""

from collections.abc import Callable
import logging

from twisted.internet import defer

from shallothinge import clock as clocks
from shallothinge.control import commands
from shallothinge.control import leadership
from shallothinge.control import state
from shallothinge.leases import messages as leases
from shallothinge.membership import messages as membership

LOG = logging.getLogger(__name__)

SWEEP_INTERVAL_MS = 1000
JOB_RETENTION_DAYS = 7
MS_PER_DAY = 24 * 3600 * 1000


class Maintenance:
    """Removes ended holders and expired records from the replicated state.

    :param propose: commits a command; returns a Deferred.
    :param retention_days: how long idempotency keys are kept.
    """

    def __init__(
        self,
        *,
        machine: state.ControlState,
        clock: clocks.Clock,
        wall_clock: clocks.Clock,
        propose: Callable[[object], defer.Deferred],
        retention_days: int,
    ):
        self._machine = machine
        self._clock = clock
        self._wall_clock = wall_clock
        self._propose = propose
        self._retention_ms = retention_days * MS_PER_DAY
        self._maintenance_pending = False
        self._last_sweep_ms = 0

    def sweep(self, *, current: leadership.Leadership) -> None:
        """Propose due cleanup, at most once per ``SWEEP_INTERVAL_MS``."""
        now_ms = self._clock.now_ms()
        if now_ms - self._last_sweep_ms >= SWEEP_INTERVAL_MS:
            self._last_sweep_ms = now_ms
            self._end_expired_holders(current)
            self._prune()
            self._forget_departures()

    def _end_expired_holders(self, current: leadership.Leadership) -> None:
        """End the holders whose leases have surely expired."""
        may_act = current.leases.may_act
        ended = [
            holder
            for holder in self._machine.data.active_holders()
            if not may_act(holder)
        ]
        if ended:
            ended.sort(
                key=lambda holder: (holder.holder_id, holder.incarnation)
            )
            self._propose_maintenance(leases.EndHolders(holders=tuple(ended)))

    def _prune(self) -> None:
        now_ms = self._wall_clock.now_ms()
        before_ms = now_ms - self._retention_ms
        jobs_before_ms = now_ms - JOB_RETENTION_DAYS * MS_PER_DAY
        data = self._machine.data
        if data.claims.has_idle_since(
            before_ms=before_ms
        ) or data.jobs.has_idle_since(before_ms=jobs_before_ms):
            self._propose_maintenance(
                commands.Prune(
                    before_ms=before_ms, jobs_before_ms=jobs_before_ms
                )
            )

    def _forget_departures(self) -> None:
        now_ms = self._wall_clock.now_ms()
        if self._machine.data.departures.has_old(now_ms=now_ms):
            self._propose_maintenance(membership.ForgetDepartures())

    def _propose_maintenance(self, command: object) -> None:
        """Propose a maintenance command unless one is pending.

        A command that is not committed is built again by a later sweep.
        """
        if self._maintenance_pending:
            return
        self._maintenance_pending = True
        proposed = self._propose(command)
        proposed.addErrback(
            lambda failure: LOG.info(
                'maintenance command was not committed',
                extra={'cause': failure.getErrorMessage()},
            )
        )
        proposed.addCallback(self._finish_maintenance)

    def _finish_maintenance(self, _) -> None:
        self._maintenance_pending = False
