"""All chat completions of an entry: admission, start, messages, ends."""

from collections.abc import Callable

from shallothinge import errors
from shallothinge.admission import queue as queues
from shallothinge.entry import chat_job
from shallothinge.entry import chat_run
from shallothinge.errors import ErrorKind
from shallothinge.reservations import plan as plans


class ChatService:
    """Admits chat completions and gives each exactly one final answer.

    :param reactor: schedules the deadlines.
    :param on_ended: called with each run after its final answer.
    """

    def __init__(
        self,
        *,
        reactor,
        env: chat_job.Environment,
        limits: queues.QueueLimits,
        on_ended: Callable[[chat_run.ChatRun], None] = lambda run: None,
    ):
        self._reactor = reactor
        self._env = env
        self._limits = limits
        self._on_ended = on_ended
        self._queues = {}
        self._pump_timer = None
        self._deadlines = {}
        self.runs: dict[str, chat_run.ChatRun] = {}
        self.is_stopping = False

    def submit(
        self, *, job: chat_job.ChatJob, sink: chat_run.Sink
    ) -> chat_run.ChatRun:
        """Admit a request or refuse it at once.

        :returns: the run; it may have ended already.
        """
        run = chat_run.ChatRun(job=job, env=self._env, owner=self, sink=sink)
        self._deadlines[job.request_id] = self._reactor.callLater(
            max(0, run.remaining_ms) / 1000, run.deadline_passed
        )
        self.runs[job.request_id] = run
        refusal = self._refusal_of(job)
        if refusal is not None:
            run.refuse(refusal.kind, retry_after_ms=refusal.retry_after_ms)
            return run
        self._env.budget.fresh()
        self.pump_soon()
        return run

    def _refusal_of(self, job: chat_job.ChatJob) -> queues.Refused | None:
        if self.is_stopping:
            return _refused(ErrorKind.STOPPING)
        if not self._env.holder.is_valid():
            return _refused(ErrorKind.NO_LEASE)
        if not self._env.fleet.knows(need=job.need):
            return _refused(ErrorKind.NO_BACKEND_SERVER)
        if job.tokens > plans.usable_tokens(
            self._env.fleet.total_tokens(need=job.need)
        ):
            return _refused(ErrorKind.PROMPT_TOO_LONG)
        work = queues.Work(
            request_id=job.request_id,
            workspace=job.workspace.name,
            request_class=job.request_class,
            tokens=job.tokens,
            deadline_ms=job.ends_ms,
            weight=job.workspace.weight,
        )
        outcome = self._queue_of(job).offer(work)
        if isinstance(outcome, queues.Refused):
            return outcome
        return None

    def _queue_of(self, job: chat_job.ChatJob) -> queues.AdmissionQueue:
        queue = self._queues.get(job.model_key)
        if queue is None:
            queue = queues.AdmissionQueue(
                clock=self._env.clock, limits=self._limits
            )
            self._queues[job.model_key] = queue
        return queue

    def pump_soon(self) -> None:
        """Start what fits, as soon as the current event is handled."""
        if self._pump_timer is None:
            self._pump_timer = self._reactor.callLater(0, self._pump)

    def _pump(self) -> None:
        self._pump_timer = None
        for queue in self._queues.values():
            self._pump_queue(queue)

    def _pump_queue(self, queue: queues.AdmissionQueue) -> None:
        while queue.waiting_count:
            need = self._need_of(queue)
            capacity_tokens = self._env.fleet.capacity_tokens(need=need)
            if not capacity_tokens:
                return
            work = queue.take(capacity_tokens=capacity_tokens)
            if work is None:
                return
            self.runs[work.request_id].start()

    def _need_of(self, queue: queues.AdmissionQueue):
        return self.runs[queue.any_waiting_id()].job.need

    def take(self, server_id: str, message: object) -> None:
        """Hand an agent's message to the run that it belongs to."""
        run = self.runs.get(message.request_id)
        if run is not None:
            run.take(server_id, message)

    def take_reservation(self, message: object) -> None:
        """Hand an answer about reserved memory to the run it belongs to."""
        request_id = message.reservation_id.partition('.')[0]
        run = self.runs.get(request_id)
        if run is not None:
            run.take_reservation(message)

    def connection_reset(self, server_id: str) -> None:
        """Resume what runs on a server whose connection was replaced."""
        for run in list(self.runs.values()):
            if run.server_id == server_id:
                run.connection_reset()

    def watch(self) -> None:
        """Look for lost agents and lost frames."""
        for run in list(self.runs.values()):
            run.watch()

    def wait_again(self, run: chat_run.ChatRun, *, delay_ms: int) -> None:
        """Put a run back into its queue."""
        self._queue_of(run.job).requeue(run.job.request_id, delay_ms=delay_ms)
        self._reactor.callLater(delay_ms / 1000, self.pump_soon)

    def ended(self, run: chat_run.ChatRun) -> None:
        """Forget a run."""
        request_id = run.job.request_id
        if self.runs.pop(request_id, None) is not None:
            timer = self._deadlines.pop(request_id)
            if timer.active():
                timer.cancel()
            self._queue_of(run.job).finished(request_id)
            self.pump_soon()
        self._on_ended(run)

    @property
    def waiting_count(self) -> int:
        """Return how many requests are queued."""
        return sum(queue.waiting_count for queue in self._queues.values())

    def describe(self) -> dict:
        """Return the state of every queue and run, for dumps."""
        return {
            'queues': {
                name: queue.describe() for name, queue in self._queues.items()
            },
            'runs': [run.describe() for run in self.runs.values()],
        }


def _refused(kind: ErrorKind) -> queues.Refused:
    return queues.Refused(
        kind=kind, retry_after_ms=errors.ANSWERS[kind].retry_after_ms
    )
