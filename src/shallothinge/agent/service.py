"""Takes the messages of entries and operators, and keeps time.

The parts that it works with are put together in ``agent/parts.py``.
"""

import logging

from twisted.internet import defer
from twisted.internet import task

from shallothinge import periodic
from shallothinge import process as processes
from shallothinge.agent import dump
from shallothinge.agent import parts
from shallothinge.agent import stall
from shallothinge.agent import status
from shallothinge.agent import streams
from shallothinge.calls import messages as call_messages
from shallothinge.leases import holder as holders
from shallothinge.operators import messages as operator_messages
from shallothinge.reservations import messages as reservation_messages
from shallothinge.settings import model as settings_model
from shallothinge.streams import messages
from shallothinge.streams import owned

LOG = logging.getLogger(__name__)

HOUSEKEEPING_MS = 100
LEAVE_MS = 500
ENTRY_ROLE = 'entry'
OPERATOR_ROLE = 'operator'
MODEL_KIND = 'model'


class AgentService(parts.AgentParts):
    """One agent: what it does with messages, and regularly."""

    def __init__(
        self,
        *,
        settings: settings_model.AgentSettings,
        process: processes.Process,
    ):
        super().__init__(
            settings=settings, process=process, on_message=self._receive
        )
        self._stall = stall.StallDetector(clock=self._clock)
        self._handlers = self._entry_handlers()
        self._loops = []
        self._stopped = None
        self._leaving_ms = 0

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
        loop = task.LoopingCall(periodic.run, function)
        loop.clock = self._reactor
        self._loops.append(loop)
        loop.start(interval_ms / 1000)

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
        is_dump = isinstance(message, operator_messages.DumpRequested)
        if is_dump and peer.role == OPERATOR_ROLE:
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
