"""A stand-in model engine: continuous batching over a fixed KV memory.

Pure: ``step`` does the work of one batch step, whoever calls it. Decoding
streams get one token each; what is left of the step's token budget goes to
prefill, in order of priority and then of arrival.
"""

import collections
from collections.abc import Callable

import attrs

from shallothinge import clock
from shallothinge import tokens
from shallothinge.clock import MS_PER_SECOND
from shallothinge.standin import answers
from shallothinge.standin import batch
from shallothinge.standin import events
from shallothinge.standin import memory
from shallothinge.standin import model

SNAPSHOTS = 4096


@attrs.frozen(kw_only=True)
class Load:
    """Load as the engine reports it."""

    running: int
    waiting: int
    held_tokens: int
    memory_tokens: int
    prefill_backlog_tokens: int
    cold: bool
    incarnation: str


class Engine:
    """State of a stand-in engine.

    :param make_incarnation: returns a new identity at each restart.
    """

    def __init__(
        self,
        *,
        clock: clock.Clock,
        options: model.EngineOptions,
        make_incarnation: Callable[[], str],
    ):
        self._clock = clock
        self._options = options
        self._make_incarnation = make_incarnation
        self._arrivals = 0
        self._fence = 0
        self._seen_ids = set()
        self.counters = batch.Counters()
        self.refuse_all = False
        self.role = ''
        self._ready_ms = clock.now_ms()
        self._reset(cold=options.starts_cold)

    def _reset(self, *, cold: bool) -> None:
        self.incarnation = self._make_incarnation()
        self.cold = cold
        self._worked_tokens = 0
        self._steps = 0
        self._snapshots = collections.deque(maxlen=SNAPSHOTS)
        self.models = set(self._options.models)
        self.adapters = set(self._options.adapters)
        self.events = events.EventLog(
            clock=self._clock,
            lag_ms=self._options.event_lag_ms,
            gap_every=self._options.event_gap_every,
        )
        self.memory = memory.Memory(
            capacity_tokens=self._options.memory_tokens,
            on_cached=lambda block: self.events.record(
                op='added', block=block
            ),
            on_evicted=lambda block: self.events.record(
                op='removed', block=block
            ),
        )
        self.batch = batch.Batch(
            clock=self._clock,
            options=self._options,
            engine_memory=self.memory,
            counters=self.counters,
        )
        self.reservations: dict[str, int] = {}
        self.exports: dict[str, tuple[str, ...]] = {}
        self._note_load()

    @property
    def ready(self) -> bool:
        """Return whether the engine has started."""
        return self._clock.now_ms() >= self._ready_ms

    @property
    def idle(self) -> bool:
        """Return whether a step would find nothing to do."""
        return self.batch.idle

    @property
    def streams(self) -> dict[str, batch.Stream]:
        """Return the streams that are known, by request id."""
        return self.batch.streams

    @property
    def cold_limit_tokens(self) -> int:
        """Return the tokens of streams that a cold engine can carry now."""
        grown = self._worked_tokens * self._options.cold_growth_percent
        return self._options.cold_limit_tokens + grown // 100

    def restart(self) -> None:
        """Lose everything and come back cold after the restart time."""
        self.counters.streams_failed += len(self.batch.open_streams())
        self._ready_ms = self._clock.now_ms() + self._options.restart_ms
        self._reset(cold=True)

    def turn_cold(self) -> None:
        """Turn cold without a restart or any other sign."""
        self.cold = True
        self._worked_tokens = 0

    def check_fence(self, fence: int) -> None:
        """Refuse an old fencing number, if this engine checks them.

        :raises model.EngineRefused: if a newer number was seen.
        """
        if self._options.checks_fencing and fence < self._fence:
            raise model.EngineRefused(
                kind=model.Refusal.STALE_FENCE,
                detail=f'{fence} is older than {self._fence}',
            )
        self._fence = max(self._fence, fence)

    def start(self, request: model.CompletionRequest) -> batch.Stream:
        """Take a completion into the queue.

        :raises model.EngineRefused: if the stream is not taken.
        """
        try:
            self._check_start(request)
        except model.EngineRefused:
            self.counters.refused += 1
            raise
        stream = self._make_stream(request)
        if self._falls_over(stream):
            self.counters.falls += 1
            self.restart()
            raise model.EngineRefused(
                kind=model.Refusal.NOT_READY,
                detail='fell over: cold and given more than it can carry',
            )
        self._count_start(request)
        self.batch.add(stream)
        self._note_load()
        return stream

    def _check_start(self, request: model.CompletionRequest) -> None:
        self.check_ready()
        if self.refuse_all:
            raise model.EngineRefused(kind=model.Refusal.OVERLOADED)
        self.check_fence(request.fence)
        self._check_model(request)
        if request.request_id in self.streams:
            raise model.EngineRefused(kind=model.Refusal.DUPLICATE_REQUEST)
        needed = tokens.count_tokens(request.prompt) + request.max_tokens
        if request.parts:
            self._check_parts(request, needed_tokens=needed)
        elif needed > self._options.memory_tokens:
            raise model.EngineRefused(
                kind=model.Refusal.MEMORY_FULL,
                detail=f'needs {needed} tokens of memory',
            )
        if (
            self.batch.count(batch.StreamState.WAITING)
            >= self._options.max_waiting
        ):
            raise model.EngineRefused(kind=model.Refusal.OVERLOADED)

    def check_ready(self) -> None:
        """Refuse while the engine is starting.

        :raises model.EngineRefused: if it has not started yet.
        """
        if not self.ready:
            raise model.EngineRefused(kind=model.Refusal.NOT_READY)

    def _check_model(self, request: model.CompletionRequest) -> None:
        if request.model not in self.models:
            raise model.EngineRefused(
                kind=model.Refusal.MODEL_NOT_LOADED, detail=request.model
            )
        if request.adapter and request.adapter not in self.adapters:
            raise model.EngineRefused(
                kind=model.Refusal.MODEL_NOT_LOADED, detail=request.adapter
            )

    def _check_parts(self, request, *, needed_tokens: int) -> None:
        covered = sum(part.tokens for part in request.parts)
        if covered < needed_tokens:
            raise model.EngineRefused(
                kind=model.Refusal.BAD_REQUEST,
                detail=f'parts cover {covered} of {needed_tokens} tokens',
            )
        own = [p for p in request.parts if p.url == self._options.own_url]
        for part in own:
            if self.reservations.get(part.reservation_id, 0) < part.tokens:
                raise model.EngineRefused(
                    kind=model.Refusal.MEMORY_FULL,
                    detail=f'no reservation {part.reservation_id}',
                )

    def _make_stream(self, request: model.CompletionRequest) -> batch.Stream:
        self._arrivals += 1
        prompt_tokens = tokens.count_tokens(request.prompt)
        return batch.Stream(
            request=request,
            answer=answers.Answer(prompt=request.prompt),
            arrival=self._arrivals,
            prompt_tokens=prompt_tokens,
            hashes=tokens.block_hashes(request.prompt),
            prefill_left_tokens=prompt_tokens + len(request.delivered),
        )

    def _falls_over(self, stream: batch.Stream) -> bool:
        if not self.cold:
            return False
        carried = stream.total_tokens + sum(
            other.total_tokens for other in self.batch.open_streams()
        )
        if carried > self.cold_limit_tokens:
            return True
        peak = max(self.counters.peak_cold_tokens, carried)
        self.counters.peak_cold_tokens = peak
        return False

    def _count_start(self, request: model.CompletionRequest) -> None:
        self.counters.streams_started += 1
        if request.request_id in self._seen_ids:
            self.counters.duplicate_request_ids += 1
        self._seen_ids.add(request.request_id)

    def cancel(self, request_id: str) -> bool:
        """End a stream and release its memory.

        :returns: whether the stream was known.
        """
        stream = self.batch.remove(request_id)
        if stream is None:
            return False
        if stream.state is not batch.StreamState.FINISHED:
            self.counters.streams_cancelled += 1
        self._note_load()
        return True

    def fail(self, stream: batch.Stream) -> None:
        """End a stream without an end of its answer."""
        self.batch.fail(stream)

    def reserve(self, *, reservation_id: str, reserved_tokens: int) -> None:
        """Hold memory for a part of a spanning prompt.

        :raises model.EngineRefused: if there is no room.
        """
        self.check_ready()
        owner = f'reservation:{reservation_id}'
        self.memory.release(owner)
        if self.memory.hold(owner, total_tokens=reserved_tokens) is None:
            raise model.EngineRefused(kind=model.Refusal.MEMORY_FULL)
        self.reservations[reservation_id] = reserved_tokens
        self._note_load()

    def release_reservation(self, reservation_id: str) -> bool:
        """End a reservation, and the streams that rely on it.

        :returns: whether it was held.
        """
        if self.reservations.pop(reservation_id, None) is None:
            return False
        self.memory.release(f'reservation:{reservation_id}')
        for stream in self.batch.open_streams():
            names = {part.reservation_id for part in stream.request.parts}
            if reservation_id in names:
                self.batch.fail(stream)
        self._note_load()
        return True

    def export(self, *, request_id: str, export_id: str) -> int:
        """Keep a stream's KV cache for another engine to fetch.

        :returns: the tokens that the export holds.
        :raises model.EngineRefused: if the stream is unknown or there is
            no room.
        """
        stream = self.streams.get(request_id)
        if stream is None:
            raise model.EngineRefused(kind=model.Refusal.NOT_FOUND)
        export_tokens = len(stream.hashes) * tokens.BLOCK_TOKENS
        owner = f'export:{export_id}'
        held = self.memory.hold(
            owner, total_tokens=export_tokens, hashes=stream.hashes
        )
        if held is None:
            raise model.EngineRefused(kind=model.Refusal.MEMORY_FULL)
        self.exports[export_id] = stream.hashes
        self._note_load()
        return export_tokens

    def release_export(self, export_id: str) -> bool:
        """Drop an export.

        :returns: whether it was held.
        """
        self.exports.pop(export_id, None)
        released = self.memory.release(f'export:{export_id}')
        self._note_load()
        return released

    def order(self, order: model.OrderRequest) -> None:
        """Carry out an operators' order.

        :raises model.EngineRefused: if the number is stale or the order
            is unknown.
        """
        self.check_fence(order.fence)
        if order.order == 'load_model':
            self.models.add(order.model)
        elif order.order == 'unload_model':
            self.models.discard(order.model)
        elif order.order == 'load_adapter':
            self.adapters.add(order.adapter)
        elif order.order == 'set_role':
            self.role = order.role
        else:
            raise model.EngineRefused(
                kind=model.Refusal.BAD_REQUEST,
                detail=f'unknown order {order.order}',
            )

    def step(self) -> None:
        """Do the work of one batch step."""
        self._steps += 1
        self.batch.forget_finished()
        self.batch.admit()
        budget = self._step_budget_tokens()
        if self._decodes_now():
            decoded = self.batch.decode()
            budget -= decoded * self._options.decode_cost_tokens
            self._worked_tokens += decoded
        self._worked_tokens += self.batch.prefill(budget)
        self._warm_up()
        self._note_peaks()
        self._note_load()

    def load(self) -> Load:
        """Return the load as it was some time ago."""
        visible_ms = self._clock.now_ms() - self._options.load_lag_ms
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= visible_ms:
            self._snapshots.popleft()
        return self._snapshots[0][1]

    def _decodes_now(self) -> bool:
        if not self.cold:
            return True
        return self._steps % self._options.cold_slowdown == 0

    def _step_budget_tokens(self) -> int:
        rate = self._options.prefill_tokens_per_s
        budget = rate * self._options.step_ms // MS_PER_SECOND
        if self.cold:
            budget //= self._options.cold_slowdown
        return max(1, budget)

    def _warm_up(self) -> None:
        if self._worked_tokens >= self._options.warm_up_tokens:
            self.cold = False

    def _note_peaks(self) -> None:
        counters = self.counters
        running = self.batch.count(batch.StreamState.RUNNING)
        counters.max_running = max(counters.max_running, running)
        if self.cold:
            counters.max_running_cold = max(counters.max_running_cold, running)
        held = self.memory.held_tokens
        counters.peak_held_tokens = max(counters.peak_held_tokens, held)

    def _note_load(self) -> None:
        load = Load(
            running=self.batch.count(batch.StreamState.RUNNING),
            waiting=self.batch.count(batch.StreamState.WAITING),
            held_tokens=self.memory.held_tokens,
            memory_tokens=self._options.memory_tokens,
            prefill_backlog_tokens=self.batch.backlog_tokens,
            cold=self.cold,
            incarnation=self.incarnation,
        )
        self._snapshots.append((self._clock.now_ms(), load))
