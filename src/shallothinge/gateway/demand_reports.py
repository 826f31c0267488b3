"""Sends the other gateways what waits for a slot at this one."""

from collections.abc import Callable

from shallothinge import clock as clocks
from shallothinge import periodic
from shallothinge.scheduling import demand as demands
from shallothinge.scheduling import messages

# Delay of a report on a change, in which further changes join it.
CHANGE_DELAY_MS = 2


class DemandReports:
    """Sends the reports of a reporter when they are due.

    :param send: sends a report to all peers.
    """

    def __init__(
        self,
        *,
        reactor: object,
        reporter: demands.DemandReporter,
        send: Callable[[messages.DemandReported], None],
    ):
        self._reactor = reactor
        self._reporter = reporter
        self._send = send
        self._timer = None

    def notify_change(self) -> None:
        """Report a change of what waits here soon."""
        self._reporter.record_change()
        self.schedule()

    def schedule(self) -> None:
        """Schedule the next report, if one is due."""
        due_in_ms = self._reporter.next_report_in_ms()
        if due_in_ms is None:
            return
        delay_s = max(due_in_ms, CHANGE_DELAY_MS) / clocks.MS_PER_SECOND
        if self._timer is None or not self._timer.active():
            self._timer = self._reactor.callLater(
                delay_s, periodic.run, self._report
            )
        elif self._timer.getTime() > self._reactor.seconds() + delay_s:
            self._timer.reset(delay_s)

    def _report(self) -> None:
        try:
            report = self._reporter.report(complete=False)
        except Exception:
            # The cause may last, so it is not tried again at once.
            self._timer = self._reactor.callLater(
                demands.REPEAT_INTERVAL_MS / clocks.MS_PER_SECOND,
                periodic.run,
                self._report,
            )
            raise
        self.schedule()
        if report is not None:
            self._send(report)
