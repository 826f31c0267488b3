"""The entry process: callers on one side, agents on the other."""

import json
import logging
import pathlib
import random

import attrs
from twisted.internet import defer
from twisted.internet import ssl
from twisted.internet import task

from shallothinge import clock as clocks
from shallothinge import metrics
from shallothinge import periodic
from shallothinge import process as processes
from shallothinge.admission import queue as queues
from shallothinge.calls import messages as call_messages
from shallothinge.entry import call_run
from shallothinge.entry import calls
from shallothinge.entry import channel
from shallothinge.entry import chat_job
from shallothinge.entry import chat_run
from shallothinge.entry import chat_start
from shallothinge.entry import chats
from shallothinge.entry import fleet as fleets
from shallothinge.entry import jobs
from shallothinge.entry import readiness
from shallothinge.entry import site
from shallothinge.entry import spend
from shallothinge.http1 import closing
from shallothinge.leases import client as clients
from shallothinge.leases import holder as holders
from shallothinge.operators import messages as operators
from shallothinge.reservations import messages as reservation_messages
from shallothinge.routing import choice
from shallothinge.routing import retries
from shallothinge.settings import model
from shallothinge.settings import watch
from shallothinge.streams import messages as stream_messages

LOG = logging.getLogger(__name__)

REFRESH_MS = 100
WATCH_MS = 250
OWNED_MS = 1000
USAGE_MS = 1000
ASK_AGAIN_MS = 1000
JOBS_MS = 1000
DRAIN_POLL_MS = 50
FLUSH_MS = 5000
# Callers that have just connected send their requests within this time.
LAST_CALLERS_MS = 250
CALL_ANSWERS = (
    call_messages.CallAnswered,
    call_messages.CallRefused,
    call_messages.CallFailed,
)
RESERVATION_ANSWERS = (
    reservation_messages.MemoryReserved,
    reservation_messages.ReservationRefused,
)
STREAM_ANSWERS = (
    stream_messages.StreamAccepted,
    stream_messages.StreamRefused,
    stream_messages.StreamFrame,
    stream_messages.StreamFinished,
    stream_messages.StreamFailed,
)


class EntryProcess:
    """All parts of a running entry."""

    def __init__(
        self,
        *,
        settings: model.EntrySettings,
        folder: pathlib.Path,
        reactor,
    ):
        self._settings = settings
        self._folder = folder
        self._reactor = reactor
        self._loops = []
        self._stopped: defer.Deferred | None = None
        self._closed = False
        self.process = processes.Process(
            reactor=reactor, settings=settings.process, folder=folder
        )
        self.holder = holders.LeaseHolder(
            clock=self.process.clock,
            holder_id=self.process.process_id,
            incarnation=self.process.incarnation,
            role='entry',
            wants_members=True,
        )
        self.metrics = self._observe()
        self._endpoint = self.process.listen(on_message=self._answer_peer)
        self.control = clients.ControlClient(
            process=self.process,
            hosts=settings.control_hosts,
            holder=self.holder,
        )
        self.fleet = self._build_fleet()
        self._env = self._build_environment()
        self.chats = self._build_chats()
        self.calls = self._build_calls()
        self.spending = self._build_spending()
        self.jobs = self._build_jobs()
        self._readiness = readiness.Readiness(
            clock=self.process.clock,
            holder=self.holder,
            knows=lambda need: self.fleet.knows(need=need),
        )
        self._api = self._build_api()
        self._port = None

    def _observe(self) -> metrics.Metrics:
        built = self.process.metrics
        built.observe_lease(read_remaining_ms=lambda: self.holder.remaining_ms)
        built.observe_queue(read_requests=lambda: self.chats.waiting_count)
        built.observe(
            name='requests_running', read=lambda: len(self.chats.runs)
        )
        built.observe(name='calls_running', read=lambda: len(self.calls.runs))
        return built

    def _build_fleet(self) -> fleets.Fleet:
        return fleets.Fleet(
            clock=self.process.clock,
            entry_id=self.process.process_id,
            holder=self.holder,
            connect=self._connect,
            on_message=self._take,
            on_reset=self._connection_reset,
            max_servers=self._settings.routing.max_servers,
        )

    def _build_environment(self) -> chat_job.Environment:
        rng = random.Random()
        return chat_job.Environment(
            clock=self.process.clock,
            rng=rng,
            entry_id=self.process.process_id,
            holder=self.holder,
            fleet=self.fleet,
            policy=choice.build_policy(
                name=self._settings.routing.policy, rng=rng
            ),
            budget=retries.RetryBudget(
                percent=self._settings.admission.retry_percent
            ),
        )

    def _build_chats(self) -> chats.ChatService:
        admission = self._settings.admission
        return chats.ChatService(
            reactor=self._reactor,
            env=self._env,
            limits=queues.QueueLimits(
                max_requests=admission.queue_requests,
                long_tokens=admission.long_prompt_tokens,
                long_share_percent=admission.long_share_percent,
            ),
            on_ended=self._run_ended,
        )

    def _build_calls(self) -> calls.CallsService:
        shared = call_run.CallEnvironment(
            env=self._env,
            control=self.control,
            incarnation=self.process.incarnation,
            is_closing=lambda: self._closed,
        )
        return calls.CallsService(reactor=self._reactor, shared=shared)

    def _build_spending(self) -> spend.Spending:
        return spend.Spending(
            clock=self.process.clock,
            wall_clock=clocks.WallClock(),
            control=self.control,
            entry_id=self.process.process_id,
            incarnation=self.process.incarnation,
            read_lapses=lambda: self.holder.lapses,
        )

    def _build_jobs(self) -> jobs.JobService:
        return jobs.JobService(
            services=chat_start.ChatServices(**self._chat_services()),
            wall_clock=clocks.WallClock(),
            control=self.control,
            entry_id=self.process.process_id,
            incarnation=self.process.incarnation,
        )

    def _chat_services(self) -> dict:
        return {
            'reactor': self._reactor,
            'clock': self.process.clock,
            'holder': self.holder,
            'chats': self.chats,
            'spending': self.spending,
            'admission': self._settings.admission,
        }

    def _build_api(self) -> site.CallersApi:
        services = site.Services(
            wall_clock=clocks.WallClock(),
            calls=self.calls,
            jobs=self.jobs,
            readiness=self._readiness,
            **self._chat_services(),
        )
        return site.CallersApi(services=services)

    @property
    def http_port(self) -> int:
        """Return the port that callers connect to."""
        return self._port.getHost().port

    def start(self) -> None:
        """Listen for callers and join the control group."""
        self.control.start()
        self._port = self._listen_http()
        self._repeat(self._refresh, every_ms=REFRESH_MS)
        self._repeat(self._watch, every_ms=WATCH_MS)
        self._repeat(self.fleet.announce_owned, every_ms=OWNED_MS)
        self._repeat(self.spending.report, every_ms=USAGE_MS)
        self._repeat(self.spending.ask_again, every_ms=ASK_AGAIN_MS)
        self._repeat(self.jobs.claim_next, every_ms=JOBS_MS)

    def _listen_http(self):
        http = self._settings.http
        caller_site = channel.CallerSite(
            root=self._api,
            limits=http,
            reactor=self._reactor,
            bodies=self.process.memory.requests,
        )
        host, _, port = http.address.rpartition(':')
        interface = host.strip('[]')
        if not http.certificate_file:
            return self._reactor.listenTCP(
                int(port), caller_site, interface=interface
            )
        context = ssl.DefaultOpenSSLContextFactory(
            str(self._folder / http.private_key_file),
            str(self._folder / http.certificate_file),
        )
        return self._reactor.listenSSL(
            int(port), caller_site, context, interface=interface
        )

    def _repeat(self, function, *, every_ms: int) -> None:
        loop = task.LoopingCall(periodic.run, function)
        loop.clock = self._reactor
        loop.start(every_ms / 1000, now=False)
        self._loops.append(loop)

    def _refresh(self) -> None:
        self.fleet.refresh()
        self.chats.pump_soon()

    def _watch(self) -> None:
        self.chats.watch()
        self.calls.watch()

    def _connect(self, *, address: str, on_message, on_reset):
        return self.process.connect(
            address=address,
            role='agent',
            on_message=on_message,
            on_reset=on_reset,
        )

    def _take(self, server_id: str, message: object) -> None:
        if isinstance(message, CALL_ANSWERS):
            self.calls.take(server_id, message)
        elif isinstance(message, STREAM_ANSWERS):
            self.chats.take(server_id, message)
        elif isinstance(message, RESERVATION_ANSWERS):
            self.chats.take_reservation(message)

    def _connection_reset(self, server_id: str) -> None:
        self.chats.connection_reset(server_id)
        self.calls.connection_reset(server_id)

    def _run_ended(self, run: chat_run.ChatRun) -> None:
        self._settle(run)
        self._count(run)

    def _count(self, run: chat_run.ChatRun) -> None:
        request_class = run.job.request_class.value
        outcome = run.error_kind.value if run.error_kind else 'finished'
        self.metrics.count_request(
            request_class=request_class, outcome=outcome
        )
        if run.error_kind is not None:
            self.metrics.count_refusal(kind=run.error_kind)
        if run.first_token_ms is not None:
            self.metrics.record_first_token(
                duration_ms=run.first_token_ms, request_class=request_class
            )
        for _ in range(1, run.assembly.attempt):
            self.metrics.count_retry()
        self.metrics.count_tokens(
            workspace=run.job.workspace.name,
            model=run.job.spec.name,
            counts=metrics.TokenCounts(**attrs.asdict(run.usage)),
        )

    def _settle(self, run: chat_run.ChatRun) -> None:
        usage = run.usage
        self.spending.settle(
            request_id=run.job.request_id,
            workspace=run.job.workspace.name,
            model_key=run.job.spec.name,
            prompt_tokens=usage.prompt_tokens,
            cached_tokens=usage.cached_tokens,
            generated_tokens=usage.generated_tokens,
        )

    def _answer_peer(self, peer, message: object) -> None:
        is_dump = isinstance(message, operators.DumpRequested)
        if is_dump and peer.role == 'operator':
            answer = operators.DumpAnswered(
                request_id=message.request_id, json_text=self.dump()
            )
            self._endpoint.send(route=peer.route, message=answer)

    def dump(self) -> str:
        """Return the whole state as JSON text."""
        state = {
            'process_id': self.process.process_id,
            'incarnation': self.process.incarnation,
            'lease': attrs.asdict(holders.describe(self.holder)),
            'fleet': self.fleet.describe(),
            'chats': self.chats.describe(),
            'calls': self.calls.describe(),
            'jobs': self.jobs.describe(),
            'allowances': self.spending.describe(),
            'retries': {
                'fresh': self._env.budget.fresh_count,
                'retried': self._env.budget.retry_count,
                'denied': self._env.budget.denied_count,
            },
            'stopping': self._stopped is not None,
        }
        return json.dumps(state, sort_keys=True, default=str)

    def stop(self) -> defer.Deferred:
        """Begin a planned stop; a second one changes nothing.

        Readiness goes first; after a wait for the balancer no new work is
        taken; when all work is done and all usage is stored, it is over.

        :returns: fires when the process may end.
        """
        if self._stopped is None:
            self._stopped = defer.Deferred()
            LOG.info('stopping: no longer ready, finishing work under way')
            self._readiness.is_stopping = True
            wait_ms = self._settings.admission.stop_wait_ms
            self._reactor.callLater(wait_ms / 1000, self._take_no_more)
        return self._stopped

    def _take_no_more(self) -> None:
        self.chats.is_stopping = True
        self.calls.is_stopping = True
        self._drain()

    def _drain(self) -> None:
        if self.chats.runs or self.calls.runs or self.jobs.is_busy:
            self._reactor.callLater(DRAIN_POLL_MS / 1000, self._drain)
            return
        self._flush(ends_ms=self.process.clock.now_ms() + FLUSH_MS)

    def _flush(self, *, ends_ms: int) -> None:
        is_late = self.process.clock.now_ms() >= ends_ms
        if self.spending.is_reported or is_late:
            closing.close_port(self._port, reactor=self._reactor)
            self._reactor.callLater(LAST_CALLERS_MS / 1000, self._end)
            return
        self.spending.report()
        self._reactor.callLater(
            DRAIN_POLL_MS / 1000, lambda: self._flush(ends_ms=ends_ms)
        )

    def _end(self) -> None:
        LOG.info('stopped: all work is finished')
        self.close()
        self._stopped.callback(None)

    def close(self) -> None:
        """Drop everything at once."""
        if self._closed:
            return
        self._closed = True
        self.jobs.is_closed = True
        for loop in self._loops:
            loop.stop()
        self._port.stopListening()
        self.fleet.close()
        self.control.close()
        self._endpoint.close()
        self.process.close()


def run(
    *,
    settings: model.EntrySettings,
    folder: pathlib.Path,
    reactor,
    changes: watch.SettingsWatch | None = None,
) -> None:
    """Run an entry until it is told to stop.

    :param folder: folder of the settings file, for relative paths.
    :param changes: tells of changed settings; none is used before a restart.
    """
    entry = EntryProcess(settings=settings, folder=folder, reactor=reactor)
    entry.start()
    reactor.addSystemEventTrigger('before', 'shutdown', entry.stop)
    reactor.run()
