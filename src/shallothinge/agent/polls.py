"""Polls the engine on connections of their own."""

import logging

from twisted.internet import defer
from twisted.internet import task

from shallothinge.agent import authority as authorities
from shallothinge.agent import coldlimit
from shallothinge.agent import engine as engines
from shallothinge.agent import gate as gates
from shallothinge.agent import model
from shallothinge.agent import reconcile
from shallothinge.agent import status
from shallothinge.agent import streams
from shallothinge.agent import watch as watches
from shallothinge.reservations import table as reservations

LOG = logging.getLogger(__name__)

HEALTH_MS = 200
CACHE_MS = 500
RECONCILE_MS = 1000
FIRST_RECONCILE_MS = 100
RELEASE_MS = 100
RELEASED_STATUSES = (200, 204, 404)


class EnginePolls:
    """Watches health, load, cache and holdings of one engine.

    :param owned_ids: returns the engine's ids of the streams that have an
        owner here.
    :param on_restart: called when the engine has restarted, so that what
        it was ordered to load is loaded again.
    """

    def __init__(
        self,
        *,
        reactor,
        engine: engines.EngineClient,
        authority: authorities.Authority,
        watch: watches.EngineWatch,
        limit: coldlimit.ColdLimit,
        cache: status.CacheView,
        releases: reconcile.ReleaseQueue,
        owned_ids,
        held: reservations.ReservationTable,
        gate: gates.Gate,
        running: streams.StreamService,
        on_restart,
    ):
        self._reactor = reactor
        self._engine = engine
        self._authority = authority
        self._watch = watch
        self._limit = limit
        self._cache = cache
        self._releases = releases
        self._owned_ids = owned_ids
        self._held = held
        self._gate = gate
        self._running = running
        self._on_restart = on_restart
        self._silence = reconcile.SilenceCheck()
        self._loops = []

    def start(self) -> None:
        """Begin to poll."""
        self._repeat(self._check_health, HEALTH_MS)
        self._repeat(self._check_cache, CACHE_MS)
        self._repeat(self._reconcile_first, FIRST_RECONCILE_MS)
        self._repeat(self._reconcile, RECONCILE_MS)
        self._repeat(self._release, RELEASE_MS)

    def close(self) -> None:
        """Stop polling."""
        for loop in self._loops:
            if loop.running:
                loop.stop()

    def _repeat(self, poll, interval_ms: int) -> None:
        loop = task.LoopingCall(self._guard, poll)
        loop.clock = self._reactor
        self._loops.append(loop)
        loop.start(interval_ms / 1000)

    @defer.inlineCallbacks
    def _guard(self, poll):
        try:
            yield poll()
        except Exception as error:
            LOG.debug('a poll of the engine failed: %r', error)

    @defer.inlineCallbacks
    def _check_health(self):
        try:
            health = yield self._engine.health()
        except Exception:
            self._react(self._watch.missed())
            raise
        self._react(self._watch.heard(health))
        self._limit.saw_incarnation(health.incarnation)
        load = yield self._engine.load()
        self._running.load = load
        self._limit.saw_load(cold=load.cold, incarnation=load.incarnation)

    def _react(self, change: watches.Change) -> None:
        if change is watches.Change.RESTARTED:
            LOG.warning('the engine has restarted')
            self._running.fail_all()
            self._forget_holdings()
            self._on_restart()
        elif change is watches.Change.FROZEN:
            LOG.warning('the engine does not answer')
            self._running.fail_all()

    def _forget_holdings(self) -> None:
        for holding in self._releases.all():
            self._confirm(holding)
        self._held.clear()
        self._gate.set_reserved(tokens=0)
        self._cache.reset()

    @defer.inlineCallbacks
    def _check_cache(self):
        if self._cache.needs_listing:
            listing = yield self._engine.cache()
            self._cache.take_listing(listing)
            return
        answer = yield self._engine.cache_events(after=self._cache.sequence)
        self._cache.take_events(answer.events)

    @defer.inlineCallbacks
    def _reconcile_first(self):
        """Learn what a predecessor left; no stream starts before that."""
        if self._running.reconciled or not self._authority.may_act():
            return
        yield self._reconcile()
        self._running.reconciled = not len(self._releases)

    @defer.inlineCallbacks
    def _reconcile(self):
        held = {
            key.engine_id: self._running.next_offset(key)
            for key in self._running.accepted_keys()
        }
        listing = yield self._engine.streams()
        self._check_silence(listing, held)
        self._release_unowned(
            reconcile.Collection.STREAMS,
            [stream.request_id for stream in listing],
            self._owned_ids(),
        )
        reserved = yield self._engine.reservations()
        self._release_unowned(
            reconcile.Collection.RESERVATIONS,
            [entry.reservation_id for entry in reserved],
            self._held.ids(),
        )
        exports = yield self._engine.exports()
        self._release_unowned(
            reconcile.Collection.EXPORTS,
            [entry.export_id for entry in exports],
            frozenset(),
        )

    def _check_silence(
        self, listing: tuple[model.EngineStream, ...], held: dict[str, int]
    ) -> None:
        listed = {stream.request_id: stream.offset for stream in listing}
        silent = self._silence.check(listed=listed, held=held)
        if silent:
            LOG.warning('connections to the engine are silent')
            self._running.reconnect(silent)

    def _release_unowned(
        self,
        collection: reconcile.Collection,
        listed: list[str],
        owned_ids: frozenset[str],
    ) -> None:
        if not self._authority.may_act():
            return
        unowned = reconcile.without_owner(
            collection=collection, listed=listed, owned=owned_ids
        )
        for holding in unowned:
            self._releases.add(holding)

    def _release(self):
        waits = [self._release_one(one) for one in self._releases.due()]
        return defer.DeferredList(waits, consumeErrors=True)

    @defer.inlineCallbacks
    def _release_one(self, holding: reconcile.Holding):
        try:
            answer = yield self._engine.delete(
                collection=holding.collection.value,
                identifier=holding.identifier,
            )
        except Exception:
            self._releases.failed(holding)
            raise
        if answer.status in RELEASED_STATUSES:
            self._confirm(holding)
        else:
            self._releases.failed(holding)

    def _confirm(self, holding: reconcile.Holding) -> None:
        self._releases.confirmed(holding)
        if holding.collection is reconcile.Collection.STREAMS:
            self._running.released(holding.identifier)
