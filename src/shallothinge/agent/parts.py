"""Puts the parts of an agent together."""

from collections.abc import Callable

from shallothinge import process as processes
from shallothinge.agent import announce
from shallothinge.agent import authority as authorities
from shallothinge.agent import calls
from shallothinge.agent import coldlimit
from shallothinge.agent import engine as engines
from shallothinge.agent import fencing
from shallothinge.agent import frames
from shallothinge.agent import gate as gates
from shallothinge.agent import gauges
from shallothinge.agent import holding
from shallothinge.agent import http
from shallothinge.agent import orders
from shallothinge.agent import polls
from shallothinge.agent import reconcile
from shallothinge.agent import rollout
from shallothinge.agent import status
from shallothinge.agent import streams
from shallothinge.agent import warming
from shallothinge.agent import warmup
from shallothinge.agent import watch as watches
from shallothinge.calls import once
from shallothinge.leases import client as clients
from shallothinge.reservations import table as reservations
from shallothinge.settings import model as settings_model
from shallothinge.streams import owned
from shallothinge.transport import endpoint as endpoints


class AgentParts:
    """The lease, tables and services of one agent, connected.

    :param on_message: called with the peer and each message.
    """

    def __init__(
        self,
        *,
        settings: settings_model.AgentSettings,
        process: processes.Process,
        on_message: Callable[[endpoints.Peer, object], None],
    ):
        self._settings = settings
        self._process = process
        self._reactor = process.reactor
        self._clock = process.clock
        self._endpoint = process.listen(on_message=on_message)
        self.address = self._endpoint.address
        self._make_lease()
        self._make_tables()
        gauges.observe(
            own=process.metrics,
            holder=self.holder,
            gate=self.gate,
            releases=self.releases,
        )
        self._make_engine()

    def _send(self, owner_id: str, message: object) -> None:
        gauges.count_answer(own=self._process.metrics, message=message)
        route = self.table.route_of(owner_id)
        if route is not None:
            self._endpoint.send(route=route, message=message)

    def _make_lease(self) -> None:
        own = self._settings.process
        self.holder = announce.make_holder(
            settings=self._settings,
            process=self._process,
            address=self.address,
        )
        self.control = clients.ControlClient(
            process=self._process,
            hosts=self._settings.control_hosts,
            holder=self.holder,
        )
        self.authority = authorities.Authority(
            holder=self.holder, server_id=own.process_id, zone=own.zone
        )

    def _make_tables(self) -> None:
        backend = self._settings.backend
        self.limit = coldlimit.ColdLimit(
            clock=self._clock,
            cold_tokens=backend.cold_limit_tokens,
            full_tokens=backend.memory_tokens,
            full_streams=backend.max_streams,
        )
        self.gate = gates.Gate(
            limit=self.limit, memory_tokens=backend.memory_tokens
        )
        self.table = owned.StreamTable(clock=self._clock)
        self.reserved = reservations.ReservationTable(clock=self._clock)
        self.releases = reconcile.ReleaseQueue(clock=self._clock)
        self.claims = once.ClaimLog()
        self.cache = status.CacheView()
        self.watch = watches.EngineWatch(clock=self._clock)
        self._status = status.StatusBuilder(
            clock=self._clock, cache=self.cache
        )
        self._sender = frames.FrameSender(
            reactor=self._reactor, table=self.table, endpoint=self._endpoint
        )

    def _make_engine(self) -> None:
        backend = self._settings.backend
        self._engine = engines.EngineClient(
            reactor=self._reactor,
            url=backend.url,
            bodies=self._process.memory.answers,
        )
        self.streams = streams.StreamService(
            reactor=self._reactor,
            clock=self._clock,
            server_id=self._settings.process.process_id,
            url=backend.url,
            engine=self._engine,
            authority=self.authority,
            gate=self.gate,
            limit=self.limit,
            watch=self.watch,
            releases=self.releases,
            table=self.table,
            sender=self._sender,
            send=self._send,
        )
        self.holdings = holding.ReservationService(
            engine=self._engine,
            authority=self.authority,
            gate=self.gate,
            watch=self.watch,
            releases=self.releases,
            table=self.reserved,
            send=self._send,
        )
        self.calls = calls.CallService(
            clock=self._clock,
            client=http.HttpClient(
                reactor=self._reactor,
                url=backend.url,
                bodies=self._process.memory.answers,
            ),
            holder=self.holder,
            authority=self.authority,
            gate=self.gate,
            limit=self.limit,
            claims=self.claims,
            services=backend.services,
            send=self._send,
        )
        self._rollout = rollout.Rollout(
            clock=self._clock,
            zone=self._settings.process.zone,
            initial_models=backend.models,
        )
        self._orders = self._make_orders()
        self.warming = self._make_warming()
        self._polls = polls.EnginePolls(
            reactor=self._reactor,
            engine=self._engine,
            authority=self.authority,
            watch=self.watch,
            limit=self.limit,
            cache=self.cache,
            releases=self.releases,
            owned_ids=self._owned_ids,
            held=self.reserved,
            gate=self.gate,
            running=self.streams,
            on_restart=self._orders.engine_restarted,
        )

    def _make_orders(self) -> orders.OrderService:
        backend = self._settings.backend
        return orders.OrderService(
            engine=self._engine,
            authority=self.authority,
            guard=fencing.FenceGuard(
                clock=self._clock, engine_checks=backend.checks_fencing
            ),
            holder=self.holder,
            control=self.control,
            rollout=self._rollout,
            watch=self.watch,
            models_in_use=self.streams.models_in_use,
        )

    def _make_warming(self) -> warming.WarmUpRunner:
        return warming.WarmUpRunner(
            reactor=self._reactor,
            clock=self._clock,
            name=f'warm-up-{self._process.incarnation}',
            engine=self._engine,
            authority=self.authority,
            gate=self.gate,
            limit=self.limit,
            watch=self.watch,
            releases=self.releases,
            warm_up=warmup.WarmUp(clock=self._clock),
            models=lambda: self._rollout.models,
        )

    def _owned_ids(self) -> frozenset[str]:
        return self.table.engine_ids() | self.warming.engine_ids()
