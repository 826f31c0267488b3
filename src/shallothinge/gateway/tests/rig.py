"""A gateway's request path without sockets; tests simulate the servers."""

import itertools
import json
import random
from unittest import mock

import attrs
from twisted.internet import task

from shallothinge import clock
from shallothinge import memory
from shallothinge.bundles.model import ServingConfig
from shallothinge.gateway import cold_rate_limiter
from shallothinge.gateway import dependencies
from shallothinge.gateway import gateway_group
from shallothinge.gateway import hedging
from shallothinge.gateway import ingress
from shallothinge.gateway import notices
from shallothinge.gateway import room
from shallothinge.gateway import server_places
from shallothinge.gateway import servers
from shallothinge.gateway import shutdown
from shallothinge.http1 import client
from shallothinge.http1 import exchange as exchanges
from shallothinge.http1 import flow as flows
from shallothinge.http1 import messages
from shallothinge.membership.model import BackendServer
from shallothinge.placement import choice
from shallothinge.placement import fleet
from shallothinge.placement import server_queue
from shallothinge.placement import waiting
from shallothinge.platform import dialect
from shallothinge.platform import routes
from shallothinge.platform.tests import samples
from shallothinge.quarantine import fingerprints
from shallothinge.quarantine import state as quarantines
from shallothinge.routing import retries
from shallothinge.server_limits import messages as limit_messages
from shallothinge.server_limits import returns
from shallothinge.server_limits import state as server_limits

REQUEST_ID = '9c41'
START_MS = 1000
# Callers of all gateways send different bodies.
BODIES = itertools.count()
SIGNED = (
    ('request-attempt-id', REQUEST_ID),
    ('response-signature', 'signature'),
)


class FakeLeaseHolder:
    """A lease holder whose lease and members are set by the test."""

    def __init__(self):
        self.is_leased = True
        self.is_settled = True
        self.is_member_list_partial = False
        self.member_list_age_ms = 10_000
        self.config = ServingConfig()
        self.members = {}
        self.members_version = 1
        self.members_epoch = 'e'
        self.left_ids = set()
        self.peers = ('tcp://one',)

    @property
    def remaining_ms(self):
        """Return the time until the lease expires."""
        return 1000 if self.is_leased else 0

    def has_left(self, server):
        """Return whether a server's departure is recorded."""
        return server.server_id in self.left_ids

    def is_valid(self):
        """Return whether the lease is valid."""
        return self.is_leased


class FakeHttpClient:
    """Records the requests that would be sent to backend servers."""

    def __init__(self):
        self.calls = []

    def call(
        self,
        *,
        address,
        head,
        body,
        listener,
        may_send=None,
        within_ms=None,
    ):
        """Record a call; the test simulates the answer."""
        call = Call(
            address=address,
            head=head,
            body=body,
            listener=listener,
            may_send=may_send,
        )
        self.calls.append(call)
        return call


@attrs.define(kw_only=True)
class Call:
    """One request to a backend server."""

    address: str
    head: messages.RequestHead
    body: bytes
    listener: object
    may_send: object = None
    is_cancelled: bool = False

    def cancel(self):
        """Record the cancellation."""
        self.is_cancelled = True

    def pause(self):
        """Do nothing: the test decides when data arrives."""

    def resume(self):
        """Do nothing, as in ``pause``."""

    def read_as_stream(self):
        """Do nothing: the bodies of tests are short, so none is limited."""

    def answer(self, status, *, headers=SIGNED, body=b'', ends=True):
        """Simulate an answer."""
        self.listener.on_head(
            messages.ResponseHead(status=status, headers=headers)
        )
        if body:
            self.listener.on_data(body)
        if ends:
            self.end()

    def end(self, *, by_close=False):
        """Simulate the end of an answer that has begun."""
        end = client.AnswerEnd.FRAMING
        if by_close:
            end = client.AnswerEnd.CLOSE
        self.listener.on_end(end)

    def refuse(self, *, fault_address=''):
        """Simulate a refusal by a full server, or because of a helper."""
        headers = (('request-attempt-id', REQUEST_ID), ('not-executed', '1'))
        if fault_address:
            headers = (*headers, ('at-server', fault_address))
        self.listener.on_head(
            messages.ResponseHead(status=503, headers=headers)
        )

    def fail(self, *, was_sent):
        """Simulate a connection that breaks or is never established."""
        kind = client.FailureKind.BROKEN
        if not was_sent:
            kind = client.FailureKind.NOT_CONNECTED
        self.listener.on_failure(client.Failure(kind=kind, was_sent=was_sent))


@attrs.define(kw_only=True)
class Exchange:
    """A caller's request, and the answer that the caller receives."""

    head: messages.RequestHead
    body: bytes = b''
    received_ms: int = 0
    on_disconnect: object = None
    early_end: object = exchanges.EarlyEnd.CALLER_GONE
    flow: flows.Flow = attrs.field(factory=flows.Flow)
    is_begun: bool = False
    status: int | None = None
    headers: tuple = ()
    received: bytes = b''
    is_whole: bool = False
    is_cut: bool = False

    @property
    def is_ended(self):
        """Return whether the answer is complete or aborted."""
        return self.is_whole or self.is_cut

    def respond(self, *, status, headers, body):
        """Record a complete answer."""
        self.begin(status=status, headers=headers)
        self.write(body)
        self.finish()

    def begin(self, *, status, headers):
        """Record the head of an answer."""
        assert self.status is None
        self.is_begun = True
        self.status, self.headers = status, dict(headers)

    def write(self, data):
        """Record a chunk of the body."""
        self.received += data

    def finish(self):
        """Record the end of the answer."""
        assert not self.is_whole and not self.is_cut
        self.is_whole = True

    def abort(self):
        """Record that the answer was aborted."""
        assert not self.is_whole
        self.is_cut = True


class Rig:
    """The request path of a gateway, built around fakes and a manual clock."""

    def __init__(
        self,
        *,
        configuration=None,
        server_count=3,
        reactor=None,
        caller=None,
        seed=1,
        own_id='0',
        address='',
    ):
        self.reactor = reactor or task.Clock()
        self.clock = clock.ManualClock(start_ms=START_MS)
        self.holder = FakeLeaseHolder()
        self.caller = caller or FakeHttpClient()
        self.load = fleet.FleetLoad(clock=self.clock)
        self.limits = server_limits.ServerLimits(
            clock=self.clock,
            own_id=own_id,
            find_gateways=gateway_group.build_finder(
                own_id=own_id, load=self.load, holder=self.holder
            ),
        )
        self.room = room.RoomQueue(
            clock=self.clock,
            reactor=self.reactor,
            load=self.load,
            own_id=own_id,
        )
        rng = random.Random(seed)
        self.parts = dependencies.Dependencies(
            reactor=self.reactor,
            clock=self.clock,
            rng=rng,
            dialect=dialect.PlatformDialect(),
            holder=self.holder,
            servers=servers.Servers(
                clock=self.clock,
                holder=self.holder,
                load=self.load,
                cold=cold_rate_limiter.ColdRateLimiter(
                    clock=self.clock, slack_requests=5
                ),
                notices=notices.ServerNotices(clock=self.clock),
                limits=self.limits,
                address=address,
            ),
            load=self.load,
            chooser=choice.Chooser(rng=rng),
            waiting=waiting.WaitingPrompts(clock=self.clock),
            permit_queue=waiting.WaitingPrompts(clock=self.clock),
            room=self.room,
            returns=returns.ReturnSchedule(clock=self.clock),
            budget=retries.RetryBudget(percent=16, burst=10),
            answer_times=hedging.AnswerTimes(clock=self.clock),
            quarantine=quarantines.PartQuarantine(
                clock=self.clock,
                places=server_places.ListedPlaces(holder=self.holder),
            ),
            fingerprinter=fingerprints.Fingerprinter(secret=b'secret'),
            caller=self.caller,
            process=mock.Mock(memory=memory.divide()),
            shutdown=shutdown.Shutdown(clock=self.clock),
            zone='z1',
        )
        self.ingress = ingress.Ingress(parts=self.parts)
        self.configure(configuration or samples.configuration())
        for index in range(server_count):
            self.add_server('llm', index)
            self.add_server('desk', index)

    def configure(self, configuration):
        """Apply a configuration."""
        content = json.dumps(configuration).encode()
        self.holder.config = attrs.evolve(
            self.holder.config,
            routes_version=configuration['version'],
            routes_document=routes.pack(content),
        )

    def add_server(self, service, index, **fields):
        """Add a backend server to the member list."""
        server_id = f'{service}-{index}'
        self.holder.members[server_id] = BackendServer(
            **{
                'server_id': server_id,
                'incarnation': '1',
                'address': f'10.0.0.{index}:{len(service)}',
                'zone': 'z1',
                'host': '',
                'services': (service,),
                'slots': 8,
                **fields,
            }
        )

    def server_at(self, address):
        """Return the server that is listed at an address."""
        return next(
            one
            for one in self.holder.members.values()
            if one.address == address
        )

    def work_at(self, server_id, read_ms=0.0):
        """Return the work of a request that another gateway has placed."""
        return server_queue.Work(
            server_id=server_id,
            read_ms=read_ms,
            started_ms=self.clock.now_ms(),
        )

    def advance(self, duration_ms):
        """Advance the clock and the reactor, whose due timers then run."""
        self.clock.advance(duration_ms=duration_ms)
        self.reactor.advance(duration_ms / 1000)

    def reports(self, *, complete):
        """Return the messages that are due to the other gateways."""
        limits = self.limits.report(complete=complete)
        return [self.load.report(complete=complete)] + [limits] * bool(limits)

    def receive(self, peer, message):
        """Handle a message from another gateway."""
        if isinstance(message, limit_messages.LimitsReported):
            self.limits.apply_report(message, peer_id=peer)
        else:
            self.load.apply_report(peer=peer, report=message)

    def request(
        self,
        path,
        *,
        tokens=0,
        deadline_ms=5000,
        waited_ms=0,
        body=None,
        **fields,
    ):
        """Send a caller's request; return its exchange.

        :param body: left out, no two requests are alike.
        :param waited_ms: time between its arrival and this call.
        """
        headers = {
            'host': 'a.example',
            'request-attempt-id': REQUEST_ID,
            'credential': 'k1',
            'deadline-milliseconds': str(deadline_ms),
            **({'token-counts': f'{tokens},10'} if tokens else {}),
            **fields,
        }
        exchange = Exchange(
            head=messages.RequestHead(
                method='POST', target=path, headers=tuple(headers.items())
            ),
            body=b'%d' % next(BODIES) if body is None else body,
            received_ms=self.clock.now_ms() - waited_ms,
        )
        self.ingress.handle(exchange)
        return exchange
