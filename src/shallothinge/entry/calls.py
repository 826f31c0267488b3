"""All service calls of an entry."""

from shallothinge import errors
from shallothinge.entry import call_run
from shallothinge.errors import ErrorKind
from shallothinge.routing import filters


class CallsService:
    """Starts service calls and hands them their answers.

    :param reactor: schedules the deadlines.
    """

    def __init__(self, *, reactor, shared: call_run.CallEnvironment):
        self._reactor = reactor
        self._shared = shared
        self._deadlines = {}
        self.runs: dict[str, call_run.CallRun] = {}
        self.is_stopping = False

    def submit(
        self, *, job: call_run.CallJob, sink: call_run.CallSink
    ) -> call_run.CallRun | None:
        """Start a call or refuse it at once.

        :returns: the run, or None if it was refused.
        """
        kind = self._refusal_of(job)
        if kind is not None:
            sink.failed(errors.ServingError(kind=kind))
            return None
        self._shared.env.budget.fresh()
        run = call_run.CallRun(
            job=job, shared=self._shared, sink=sink, on_done=self._done
        )
        self.runs[job.request_id] = run
        self._deadlines[job.request_id] = self._reactor.callLater(
            max(0, run.remaining_ms) / 1000, run.deadline_passed
        )
        run.start()
        return run

    def _refusal_of(self, job: call_run.CallJob) -> ErrorKind | None:
        if self.is_stopping:
            return ErrorKind.STOPPING
        if not job.repeatable and not job.idempotency_key:
            return ErrorKind.KEY_REQUIRED
        if not self._shared.holder.is_valid():
            return ErrorKind.NO_LEASE
        need = filters.Requirements(service=job.service)
        if not self._shared.env.fleet.candidates(need=need):
            return ErrorKind.NO_BACKEND_SERVER
        return None

    def _done(self, run: call_run.CallRun) -> None:
        self.runs.pop(run.job.request_id, None)
        timer = self._deadlines.pop(run.job.request_id)
        if timer.active():
            timer.cancel()

    def take(self, server_id: str, message: object) -> None:
        """Hand an agent's message to the call that it belongs to."""
        run = self.runs.get(message.request_id)
        if run is not None:
            run.take(server_id, message)

    def connection_reset(self, server_id: str) -> None:
        """End the calls whose answer the replaced connection has lost."""
        for run in list(self.runs.values()):
            if run.server_id == server_id:
                run.broke()

    def watch(self) -> None:
        """Look for lost agents."""
        for run in list(self.runs.values()):
            run.watch()

    def describe(self) -> list[dict]:
        """Return the state of every call, for dumps."""
        return [run.describe() for run in self.runs.values()]
