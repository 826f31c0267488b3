"""An entry's chat service over fake connections, in simulated time."""

import random

import attrs
from twisted.internet import task

from shallothinge.admission import classes
from shallothinge.admission import queue
from shallothinge.bundles import model
from shallothinge.entry import chat_job
from shallothinge.entry import chats
from shallothinge.entry import fleet
from shallothinge.entry import requests
from shallothinge.errors import ErrorKind
from shallothinge.leases import holder as holders
from shallothinge.leases import messages as leases
from shallothinge.membership.model import BackendServer
from shallothinge.membership.model import MembershipUpdate
from shallothinge.reservations import messages as reservations
from shallothinge.routing import choice
from shallothinge.routing import retries
from shallothinge.streams import messages

MEMORY_TOKENS = 100_000
LEASE_MS = 100_000_000
WATCH_MS = 250
# Sums of binary fractions may fall short of a timer that is due.
ROUNDING_S = 1e-9
MODEL = model.ModelSpec(name='small', version='1')


class ReactorClock:
    """Milliseconds of a simulated reactor."""

    def __init__(self, *, reactor):
        self._reactor = reactor

    def now_ms(self) -> int:
        """Return the simulated instant."""
        return round(self._reactor.seconds() * 1000)


class FakeLink:
    """A connection whose other end is played by the test."""

    def __init__(self, *, clock, on_message, on_reset):
        self.clock = clock
        self.on_message = on_message
        self.on_reset = on_reset
        self.connected = True
        self.sent = []
        self.heard_ms = clock.now_ms()
        self.closed = False

    @property
    def silent_ms(self) -> int:
        """Return how long the other end was silent; it pings if alive."""
        if self.connected:
            self.heard_ms = self.clock.now_ms()
        return self.clock.now_ms() - self.heard_ms

    def send(self, message) -> bool:
        """Record a message unless the connection is down."""
        if self.connected:
            self.sent.append(message)
        return self.connected

    def close(self) -> None:
        """Drop the connection."""
        self.closed = True

    def take(self, message_type) -> list:
        """Return and forget the messages of a type that were sent."""
        found = [m for m in self.sent if isinstance(m, message_type)]
        self.sent = [m for m in self.sent if m not in found]
        return found


@attrs.define(kw_only=True)
class RecordingSink:
    """A caller that notes what it gets, and when."""

    clock: ReactorClock
    parts: list = attrs.field(factory=list)
    finals: list = attrs.field(factory=list)
    ended_ms: int = -1

    def tokens(self, tokens):
        """Note tokens."""
        assert not self.finals, 'tokens after the final answer'
        self.parts.extend(tokens)

    def complete(self, finished):
        """Note a whole answer."""
        self._end(finished)

    def failed(self, error):
        """Note an error."""
        self._end(error)

    def _end(self, final):
        self.finals.append(final)
        self.ended_ms = self.clock.now_ms()


class Rig:
    """Chat service, fleet and lease of one entry.

    :param servers: how many backend servers there are.
    """

    def __init__(self, *, servers=3, seed=1, percent=10):
        self.reactor = task.Clock()
        self.clock = ReactorClock(reactor=self.reactor)
        self.links = {}
        self._watch_ms = WATCH_MS
        self.sinks = {}
        self.jobs = {}
        self.holder = self._make_holder(servers)
        self.fleet = fleet.Fleet(
            clock=self.clock,
            entry_id='e1',
            holder=self.holder,
            connect=self._connect,
            on_message=self._take,
            on_reset=lambda server_id: self.chats.connection_reset(server_id),
        )
        rng = random.Random(seed)
        self.budget = retries.RetryBudget(percent=percent)
        self.chats = chats.ChatService(
            reactor=self.reactor,
            env=chat_job.Environment(
                clock=self.clock,
                rng=rng,
                entry_id='e1',
                holder=self.holder,
                fleet=self.fleet,
                policy=choice.TwoChoices(rng=rng),
                budget=self.budget,
            ),
            limits=queue.QueueLimits(
                max_requests=50, long_tokens=100_000, long_share_percent=40
            ),
        )
        self.fleet.refresh()

    def _make_holder(self, servers) -> holders.LeaseHolder:
        holder = holders.LeaseHolder(
            clock=self.clock,
            holder_id='e1',
            incarnation='i1',
            role='entry',
            wants_members=True,
        )
        request = holder.next_request()
        members = tuple(
            BackendServer(
                server_id=f's{number}',
                incarnation='i1',
                address=f's{number}',
                zone=f'z{number % 3}',
                host='h1',
                models=('small@1',),
                memory_tokens=MEMORY_TOKENS,
                engine_url=f'http://s{number}',
            )
            for number in range(servers)
        )
        holder.apply_grant(
            leases.LeaseGranted(
                sequence=request.sequence,
                duration_ms=LEASE_MS,
                state_version=0,
                members=MembershipUpdate(
                    version=1, complete=True, joined=members
                ),
            )
        )
        return holder

    def _connect(self, *, address, on_message, on_reset):
        link = FakeLink(
            clock=self.clock, on_message=on_message, on_reset=on_reset
        )
        self.links[address] = link
        return link

    def _take(self, server_id, message):
        answers = (
            reservations.MemoryReserved,
            reservations.ReservationRefused,
        )
        if isinstance(message, answers):
            self.chats.take_reservation(message)
        else:
            self.chats.take(server_id, message)

    def submit(self, *, tokens=100, deadline_ms=5000, max_tokens=4):
        """Submit a request; gives its id."""
        request_id = f'r{len(self.sinks)}'
        job = self.make_job(
            request_id,
            tokens=tokens,
            deadline_ms=deadline_ms,
            max_tokens=max_tokens,
        )
        self.jobs[request_id] = job
        self.sinks[request_id] = RecordingSink(clock=self.clock)
        self.chats.submit(job=job, sink=self.sinks[request_id])
        self.reactor.advance(0)
        return request_id

    def make_job(
        self, request_id, *, tokens=100, deadline_ms=5000, max_tokens=4
    ) -> chat_job.ChatJob:
        """Return a request that was checked."""
        return chat_job.ChatJob(
            request_id=request_id,
            workspace=model.WorkspaceSpec(
                name='w1', key_hashes=(), models=('small',)
            ),
            spec=MODEL,
            request=requests.ChatRequest(
                model='small',
                adapter='',
                prompt='p',
                prompt_tokens=tokens,
                max_tokens=max_tokens,
                stream=True,
            ),
            request_class=classes.RequestClass.STANDARD,
            ends_ms=self.clock.now_ms() + deadline_ms,
            is_long=tokens > 100_000,
        )

    def advance(self, duration_ms):
        """Let time pass, with the entry's regular duties."""
        ends_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < ends_ms:
            self._step(ends_ms)
            if self.clock.now_ms() >= self._watch_ms:
                self._watch_ms = self.clock.now_ms() + WATCH_MS
                self.chats.watch()
            self.reactor.advance(0)

    def _step(self, ends_ms) -> None:
        """Move to the next timer, so that each fires at its own time."""
        next_ms = min(ends_ms, self._watch_ms)
        for call in self.reactor.getDelayedCalls():
            next_ms = min(next_ms, round(call.getTime() * 1000))
        wait_ms = max(1, next_ms - self.clock.now_ms())
        self.reactor.advance(wait_ms / 1000 + ROUNDING_S)

    def starts(self) -> list:
        """Return and forget the streams started: (link, message)."""
        found = []
        for link in self.links.values():
            for message in link.take(messages.StartStream):
                found.append((link, message))
        return found

    def reserve_all(self) -> None:
        """Grant every reservation that was asked for."""
        for link in self.links.values():
            for asked in link.take(reservations.ReserveMemory):
                link.on_message(
                    reservations.MemoryReserved(
                        reservation_id=asked.reservation_id
                    )
                )


def load() -> messages.LoadReport:
    """Return an idle server's load."""
    return messages.LoadReport(server_id='s', limit_tokens=MEMORY_TOKENS)


def accept(start):
    """Return the gate's acceptance."""
    return messages.StreamAccepted(
        request_id=start.request_id, attempt=start.attempt, load=load()
    )


def refuse(start, kind=ErrorKind.COLD_LIMIT):
    """Return the gate's refusal."""
    return messages.StreamRefused(
        request_id=start.request_id,
        attempt=start.attempt,
        kind=kind,
        retry_after_ms=0,
        load=load(),
    )


def frame(start, offset):
    """Return one generated token."""
    return messages.StreamFrame(
        request_id=start.request_id,
        attempt=start.attempt,
        offset=offset,
        tokens=(f'{offset}',),
    )


def finish(start):
    """Return the end of a whole answer."""
    return messages.StreamFinished(
        request_id=start.request_id,
        attempt=start.attempt,
        offset=start.max_tokens,
        finish_reason='length',
        prompt_tokens=start.prompt_tokens,
        cached_tokens=0,
        generated_tokens=start.max_tokens,
        load=load(),
    )


def fail(start, offset):
    """Return the failure of a stream."""
    return messages.StreamFailed(
        request_id=start.request_id,
        attempt=start.attempt,
        offset=offset,
        kind=ErrorKind.BACKEND_FAILED,
        load=load(),
    )
