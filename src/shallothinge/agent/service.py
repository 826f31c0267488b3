"""Takes the messages of entries and operators, and keeps time."""

import logging

from twisted.internet import defer
from twisted.internet import task

from shallothinge import process as processes
from shallothinge.agent import announce
from shallothinge.agent import authority as authorities
from shallothinge.agent import calls
from shallothinge.agent import coldlimit
from shallothinge.agent import dump
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
from shallothinge.agent import stall
from shallothinge.agent import status
from shallothinge.agent import streams
from shallothinge.agent import warming
from shallothinge.agent import warmup
from shallothinge.agent import watch as watches
from shallothinge.calls import messages as call_messages
from shallothinge.calls import once
from shallothinge.leases import client as clients
from shallothinge.leases import holder as holders
from shallothinge.operators import messages as operator_messages
from shallothinge.reservations import messages as reservation_messages
from shallothinge.reservations import table as reservations
from shallothinge.settings import model as settings_model
from shallothinge.streams import messages
from shallothinge.streams import owned

LOG = logging.getLogger(__name__)

HOUSEKEEPING_MS = 100
LEAVE_MS = 500
ENTRY_ROLE = 'entry'
OPERATOR_ROLE = 'operator'
MODEL_KIND = 'model'
REFUSALS = (
    messages.StreamRefused,
    call_messages.CallRefused,
    reservation_messages.ReservationRefused,
)


class AgentService:
    """One agent: its tables, its engine and its connections."""

    def __init__(
        self,
        *,
        settings: settings_model.AgentSettings,
        process: processes.Process,
    ):
        self._settings = settings
        self._process = process
        self._reactor = process.reactor
        self._clock = process.clock
        self._stall = stall.StallDetector(clock=self._clock)
        self._endpoint = process.listen(on_message=self._receive)
        self.address = self._endpoint.address
        self._make_lease()
        self._make_tables()
        gauges.observe(own=process.metrics, holder=self.holder, gate=self.gate)
        self._make_engine()
        self._handlers = self._entry_handlers()
        self._observe()
        self._loops = []
        self._stopped = None
        self._leaving_ms = 0

    def _observe(self) -> None:
        numbers = {
            'streams_running': lambda: len(self.streams),
            'calls_running': lambda: len(self.calls),
            'held_tokens': lambda: self.gate.held_tokens,
            'limit_tokens': lambda: self.gate.limit_tokens,
            'releases_pending': lambda: len(self.releases),
        }
        metrics = self._process.metrics
        metrics.observe_lease(
            read_remaining_ms=lambda: self.holder.remaining_ms
        )
        for name, read in numbers.items():
            metrics.observe(name=name, read=read)

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
            reactor=self._reactor, url=backend.url
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
            client=http.HttpClient(reactor=self._reactor, url=backend.url),
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

    def _entry_handlers(self):
        return {
            messages.StartStream: self._start_stream,
            messages.ResumeStream: self._resume_stream,
            messages.CancelStream: self._cancel_stream,
            messages.StreamsOwned: self._streams_owned,
            messages.CacheListingRequested: self._list_cache,
            reservation_messages.ReserveMemory: self._reserve,
            reservation_messages.ReleaseMemory: self._release,
            call_messages.CallService: self._call,
        }

    def start(self) -> None:
        """Ask for a lease and begin to watch the engine."""
        self.control.start()
        if self._settings.backend.kind == MODEL_KIND:
            self._polls.start()
            self._repeat(self._orders.look, HOUSEKEEPING_MS)
            self._repeat(self.warming.look, HOUSEKEEPING_MS)
        self._repeat(self._stall.tick, stall.TICK_MS)
        self._repeat(self._keep_house, HOUSEKEEPING_MS)
        self._repeat(self._publish, status.STATUS_MS)

    def _repeat(self, function, interval_ms: int) -> None:
        loop = task.LoopingCall(self._guard, function)
        loop.clock = self._reactor
        self._loops.append(loop)
        loop.start(interval_ms / 1000)

    def _guard(self, function) -> None:
        try:
            function()
        except Exception:
            LOG.exception('a regular duty failed')

    def stop(self) -> defer.Deferred:
        """Take no new work, finish what runs, then close.

        :returns: fires when all is done; the same at each call.
        """
        if self._stopped is None:
            LOG.info('stopping: finishing what runs')
            self._stopped = defer.Deferred()
            self.authority.stopping = True
            self.holder.leaving = True
            self.control.renew_now()
            self._publish()
            self._leaving_ms = self._clock.now_ms()
        waiting = defer.Deferred()
        self._stopped.addCallback(_pass_on, waiting)
        return waiting

    def close(self) -> None:
        """Drop everything at once."""
        for loop in self._loops:
            if loop.running:
                loop.stop()
        self._polls.close()
        self.streams.close()
        self.warming.close()
        self._sender.close()
        self._engine.close()
        self.control.close()
        self._endpoint.close()

    def _receive(self, peer, message) -> None:
        if isinstance(message, operator_messages.DumpRequested):
            self._dump(peer, message)
            return
        handler = self._handlers.get(type(message))
        if peer.role != ENTRY_ROLE or handler is None:
            LOG.warning('ignored a %s', type(message).__name__)
            return
        sender = owned.Sender(
            process_id=peer.process_id,
            incarnation=peer.incarnation,
            route=peer.route,
        )
        heard = self.table.hear(sender)
        self._drop_orphans(peer.process_id, heard)
        if heard.hearing is owned.Hearing.SUPERSEDED:
            return
        if heard.hearing is owned.Hearing.NEW:
            self._send_full_status(peer.process_id)
        handler(peer.process_id, message)

    def _drop_orphans(self, owner_id: str, heard: owned.Heard) -> None:
        if not heard.restarted:
            return
        for key in heard.orphans:
            self.streams.cancel(key)
        self.holdings.release_owner(owner_id)

    def _start_stream(self, owner_id, message) -> None:
        self._renew_if_older(message.state_version)
        self.streams.start(
            owner_id=owner_id,
            request=message,
            waited_ms=self._stall.waited_ms(),
        )

    def _resume_stream(self, owner_id, message) -> None:
        self.streams.resume(owner_id=owner_id, request=message)

    def _cancel_stream(self, owner_id, message) -> None:
        key = streams.key_of(message)
        if self.table.is_owner(key=key, owner_id=owner_id):
            self.streams.cancel(key)

    def _streams_owned(self, owner_id, message) -> None:
        request_ids = frozenset(message.request_ids)
        unwanted = self.table.unwanted(
            owner_id=owner_id, request_ids=request_ids
        )
        for key in unwanted:
            self.streams.cancel(key)
        self.reserved.extend(owner_id=owner_id, request_ids=request_ids)

    def _list_cache(self, owner_id, message) -> None:
        self._send_full_status(owner_id)

    def _reserve(self, owner_id, message) -> None:
        self._renew_if_older(message.state_version)
        self.holdings.reserve(owner_id=owner_id, request=message)

    def _release(self, owner_id, message) -> None:
        if message.reservation_id in self.reserved.of_owner(owner_id):
            self.holdings.release(message.reservation_id)

    def _call(self, owner_id, message) -> None:
        self._renew_if_older(message.state_version)
        self.calls.call(
            owner_id=owner_id,
            request=message,
            waited_ms=self._stall.waited_ms(),
        )

    def _renew_if_older(self, state_version: int) -> None:
        if state_version > self.holder.config.state_version:
            self.control.renew_now()

    def _send(self, owner_id: str, message: object) -> None:
        gauges.count_answer(own=self._process.metrics, message=message)
        if isinstance(message, REFUSALS):
            self._process.metrics.count_refusal(kind=message.kind)
        route = self.table.route_of(owner_id)
        if route is not None:
            self._endpoint.send(route=route, message=message)

    def _send_full_status(self, owner_id: str) -> None:
        full = self._status.full_status(
            load=self.streams.report(), stopping=self.authority.stopping
        )
        self._send(owner_id, full)

    def _publish(self) -> None:
        due = self._status.next_status(
            load=self.streams.report(), stopping=self.authority.stopping
        )
        if due is None:
            return
        for route in self.table.routes():
            self._endpoint.send(route=route, message=due)

    def _keep_house(self) -> None:
        self.streams.expire()
        self.holdings.expire()
        self._finish_stop()

    def _finish_stop(self) -> None:
        if self._stopped is None or self._stopped.called:
            return
        left_ms = self._clock.now_ms() - self._leaving_ms
        if left_ms >= LEAVE_MS and self._is_idle():
            self._stopped.callback(None)

    def _is_idle(self) -> bool:
        working = len(self.streams) + len(self.calls)
        working += len(self.warming.engine_ids())
        unsent = len(self.table) + len(self.reserved.ids())
        if self.watch.is_serving():
            # What a dead engine holds can not be released; its next agent
            # lists it.
            unsent += len(self.releases)
        return not (working or unsent)

    def _dump(self, peer, message) -> None:
        answer = operator_messages.DumpAnswered(
            request_id=message.request_id, json_text=self.describe()
        )
        self._endpoint.send(route=peer.route, message=answer)

    def describe(self) -> str:
        """Return the whole state as JSON text."""
        return dump.to_json(
            dump.AgentState(
                process_id=self._process.process_id,
                incarnation=self._process.incarnation,
                lease=holders.describe(self.holder),
                announced=self.holder.server,
                stopping=self.authority.stopping,
                load=self.streams.report(),
                limit_streams=self.limit.streams,
                pace_ms_per_token=self.limit.baseline_ms,
                engine_incarnation=self.watch.incarnation,
                engine_serving=self.watch.is_serving(),
                streams=self.table.all(),
                reservations=self.reserved.all(),
                releases=self.releases.all(),
                cached_blocks=len(self.cache.blocks),
            )
        )


def _pass_on(result, waiting: defer.Deferred):
    waiting.callback(result)
    return result
