"""The gateway process: its sockets, timers, start and stop."""

import functools
import logging
import pathlib
import random
import socket

from twisted.internet import task

from shallothinge import clock as clocks
from shallothinge import periodic
from shallothinge import process as processes
from shallothinge.control import discovery
from shallothinge.gateway import cold_rate_limiter
from shallothinge.gateway import dependencies
from shallothinge.gateway import drain
from shallothinge.gateway import gateway_group
from shallothinge.gateway import hedging
from shallothinge.gateway import ingress as ingresses
from shallothinge.gateway import notices
from shallothinge.gateway import peers as gateways
from shallothinge.gateway import readiness as readinesses
from shallothinge.gateway import room
from shallothinge.gateway import server_places
from shallothinge.gateway import servers
from shallothinge.gateway import shutdown
from shallothinge.http1 import client as http_client
from shallothinge.http1 import exchange as exchanges
from shallothinge.http1 import server as http_server
from shallothinge.leases import client as clients
from shallothinge.leases import holder as holders
from shallothinge.placement import choice
from shallothinge.placement import fleet
from shallothinge.placement import waiting
from shallothinge.platform import dialect
from shallothinge.platform import names
from shallothinge.quarantine import fingerprints
from shallothinge.quarantine import state as quarantines
from shallothinge.routing import retries
from shallothinge.server_limits import returns
from shallothinge.server_limits import state as server_limits
from shallothinge.settings import model
from shallothinge.settings import watch

LOG = logging.getLogger(__name__)

# Two round trips between zones and the set-up of a connection take under
# 10 ms; the rest is a margin for processes that wait to be scheduled.
CONNECT_TIMEOUT_MS = 150
TICK_MS = 250
# Fraction of the configured retry percentage that a gateway uses, because the
# limit for all gateways is counted over sliding windows.
RETRY_FRACTION = 0.8
# Half of the slack: one window can contain the saved retries of a gateway
# twice.
SLACK_FRACTION = 0.5


class GatewayProcess:
    """One gateway."""

    def __init__(
        self, *, settings: model.GatewaySettings, folder: pathlib.Path, reactor
    ):
        self._settings = settings
        self._reactor = reactor
        self._process = processes.Process(
            reactor=reactor, settings=settings.process, folder=folder
        )
        address = settings.process.address
        self._holder = holders.LeaseHolder(
            clock=self._process.clock,
            holder_id=self._process.process_id,
            incarnation=self._process.incarnation,
            role='entry',
            wants_members=True,
            address=address,
        )
        self._control = clients.ControlClient(
            process=self._process,
            hosts=discovery.hosts_of(settings),
            holder=self._holder,
            learns_hosts=True,
        )
        self._load = fleet.FleetLoad(clock=self._process.clock)
        self._limits = self._build_limits()
        self._room = room.RoomQueue(
            clock=self._process.clock,
            reactor=reactor,
            load=self._load,
            own_id=self._peer_id,
        )
        self._parts = self._build_parts()
        self._ingress = ingresses.Ingress(parts=self._parts)
        self._readiness = readinesses.Readiness(
            holder=self._holder, ingress=self._ingress
        )
        self._peers = gateways.Peers(
            process=self._process,
            holder=self._holder,
            load=self._parts.load,
            quarantine=self._parts.quarantine,
            limits=self._limits,
            room=self._room,
            address=address,
        )
        self._endpoint = self._process.listen(on_message=self._peers.receive)
        self._callers = self._build_site(self._ingress.handle)
        self._probes = self._build_site(self._answer_probe)
        self._ticking = task.LoopingCall(self._tick)
        self._ticking.clock = reactor
        self._had_lease = False
        self._drain = drain.GatewayDrain(
            reactor=reactor,
            clock=self._process.clock,
            callers=settings.callers,
            ingress=self._ingress,
            site=self._callers,
            shutdown=self._parts.shutdown,
        )

    @property
    def _peer_id(self) -> str:
        return gateways.peer_id(
            self._process.process_id, self._process.incarnation
        )

    def _build_limits(self) -> server_limits.ServerLimits:
        return server_limits.ServerLimits(
            clock=self._process.clock,
            own_id=self._peer_id,
            find_gateways=gateway_group.build_finder(
                own_id=self._peer_id, load=self._load, holder=self._holder
            ),
        )

    def _build_parts(self) -> dependencies.Dependencies:
        clock = self._process.clock
        rng = random.Random()
        load = self._load
        cold = cold_rate_limiter.ColdRateLimiter(
            clock=clock, slack_requests=self._settings.cold.slack_requests
        )
        return dependencies.Dependencies(
            reactor=self._reactor,
            clock=clock,
            rng=rng,
            dialect=dialect.PlatformDialect(),
            holder=self._holder,
            servers=servers.Servers(
                clock=clock,
                holder=self._holder,
                load=load,
                cold=cold,
                notices=notices.ServerNotices(clock=clock),
                limits=self._limits,
                address=self._settings.process.address,
            ),
            load=load,
            chooser=choice.Chooser(
                rng=rng,
                gateway_id=self._peer_id,
                find_gateways=lambda: (self._peer_id, *load.known_peers()),
            ),
            waiting=waiting.WaitingPrompts(clock=clock),
            permit_queue=waiting.WaitingPrompts(clock=clock),
            room=self._room,
            returns=returns.ReturnSchedule(clock=clock),
            budget=retries.RetryBudget(
                percent=int(RETRY_FRACTION * self._settings.retries.percent),
                burst=1,
            ),
            answer_times=hedging.AnswerTimes(clock=clock),
            quarantine=quarantines.PartQuarantine(
                clock=clock,
                places=server_places.ListedPlaces(holder=self._holder),
            ),
            fingerprinter=fingerprints.Fingerprinter(
                secret=self._process.key_pair.secret.encode()
            ),
            caller=http_client.HttpClient(
                reactor=self._reactor,
                connect_timeout_ms=CONNECT_TIMEOUT_MS,
                bodies=self._process.memory.answers,
            ),
            process=self._process,
            shutdown=shutdown.Shutdown(clock=clock),
            zone=self._settings.process.zone,
        )

    def _build_site(self, handle) -> http_server.Site:
        return http_server.Site(
            reactor=self._reactor,
            clock=self._process.clock,
            handle=handle,
            refusal=dialect.write_refusal,
            bodies=self._process.memory.requests,
        )

    def start(self, opened: socket.socket | None = None) -> None:
        """Start serving requests.

        :param opened: a socket that already listens on the callers' address.
        """
        callers = self._settings.callers
        port = http_server.listen(
            site=self._callers,
            address=callers.address,
            reactor=self._reactor,
            opened=opened,
        )
        http_server.listen(
            site=self._probes,
            address=callers.readiness_address,
            reactor=self._reactor,
        )
        self._control.start()
        self._peers.start()
        self._ticking.start(TICK_MS / clocks.MS_PER_SECOND, now=False)
        self._reactor.callLater(
            processes.METRICS_DELAY_S, self._publish_servers
        )
        self._reactor.addSystemEventTrigger(
            'before', 'shutdown', self._drain.start, port
        )
        LOG.info(
            'gateway started',
            extra={
                'address': callers.address,
                'incarnation': self._process.incarnation,
                'seeds': self._settings.discovery.seeds,
            },
        )

    def _publish_servers(self) -> None:
        listed = self._parts.servers
        for name in ('count', 'leaving_count'):
            self._process.metrics.observe(
                name=f'backend_servers_{name}',
                read=functools.partial(getattr, listed, name),
            )
        quarantine = self._parts.quarantine
        self._process.metrics.observe(
            name='quarantined_parts', read=lambda: quarantine.count
        )
        self._process.metrics.observe(
            name='quarantined_requests', read=lambda: quarantine.request_count
        )
        self._process.metrics.observe(
            name='quarantine_parts_dropped',
            read=lambda: quarantine.dropped_count,
        )
        for name in ('count', 'late_count'):
            self._process.metrics.observe(
                name=f'waiting_requests_{name}',
                read=functools.partial(getattr, self._room.queue, name),
            )
        for name in ('count', 'granted_count'):
            self._process.metrics.observe(
                name=f'server_limits_{name}',
                read=functools.partial(getattr, self._limits, name),
            )

    def update_seeds(self, changed: model.GatewaySettings) -> None:
        """Use the control hosts that the changed settings name."""
        self._control.update_seeds(discovery.seed_ids(changed.discovery))

    def _answer_probe(self, exchange: exchanges.Exchange) -> None:
        refusal = self._readiness.refusal()
        if exchange.head.target != names.READINESS:
            status = 404
        else:
            status = 200 if refusal is None else 503
        body = b'ready\n' if refusal is None else refusal.value.encode()
        exchange.respond(status=status, headers=(), body=body)

    def _tick(self) -> None:
        for step in (
            self._process.memory.check,
            self._ingress.track_missing_lease,
            self._follow_lease,
            self._parts.servers.sync_members,
            self._parts.servers.update_slot_turns,
            self._update_limits,
        ):
            periodic.run(step)

    def _update_limits(self) -> None:
        """Follow the routes' limits and the number of gateways."""
        self._callers.limits = self._ingress.limits
        count = max(1, len(self._holder.peers))
        slack = self._settings.retries.slack_requests
        self._parts.budget.limit_burst(
            max(1, int(SLACK_FRACTION * slack / count))
        )

    def _follow_lease(self) -> None:
        has_lease = self._holder.is_valid()
        if has_lease != self._had_lease:
            self._had_lease = has_lease
            LOG.info(
                'lease gained' if has_lease else 'lease lost',
                extra={
                    'state_version': self._holder.config.state_version,
                    'routes_version': self._holder.config.routes_version,
                    'server_count': len(self._holder.members),
                },
            )


def run(
    *,
    settings: model.GatewaySettings,
    folder: pathlib.Path,
    reactor,
    changes: watch.SettingsWatch | None = None,
    opened: socket.socket | None = None,
) -> None:
    """Run a gateway until the reactor stops.

    :param folder: folder of the settings file, for relative paths.
    :param opened: a socket that already listens on the callers' address.
    :param changes: watches the settings; only changed seeds are applied.
    """
    process = GatewayProcess(settings=settings, folder=folder, reactor=reactor)
    process.start(opened)
    if changes is not None:
        changes.subscribe(process.update_seeds)
    reactor.run()
