"""Runs warm-up prompts on the engine."""

from shallothinge import clock
from shallothinge import tokens as token_counts
from shallothinge.agent import authority as authorities
from shallothinge.agent import coldlimit
from shallothinge.agent import engine as engines
from shallothinge.agent import gate as gates
from shallothinge.agent import model
from shallothinge.agent import pace as paces
from shallothinge.agent import reconcile
from shallothinge.agent import running
from shallothinge.agent import warmup
from shallothinge.agent import watch as watches
from shallothinge.streams import owned

PRIORITY = 1000
# 120,000 tokens at 1,000 a second, far less than a cold engine reads. No
# caller's deadline ends a prompt that nobody waits for.
WARM_UP_MS = 120_000


class WarmUpRunner:
    """One warm-up prompt at a time, told apart by their ids.

    :param name: begins the ids; unique to this start of the agent.
    :param models: returns ``name@version`` of each model loaded.
    """

    def __init__(
        self,
        *,
        reactor,
        clock: clock.Clock,
        name: str,
        engine: engines.EngineClient,
        authority: authorities.Authority,
        gate: gates.Gate,
        limit: coldlimit.ColdLimit,
        watch: watches.EngineWatch,
        releases: reconcile.ReleaseQueue,
        warm_up: warmup.WarmUp,
        models,
    ):
        self._reactor = reactor
        self._clock = clock
        self._name = name
        self._engine = engine
        self._authority = authority
        self._gate = gate
        self._limit = limit
        self._watch = watch
        self._releases = releases
        self._warm_up = warm_up
        self._models = models
        self._count = 0
        self._key = None
        self._stream = None
        self._offset = 0
        self._pace = None
        self._ends_ms = 0

    def engine_ids(self) -> frozenset[str]:
        """Return the engine's id of the prompt under way, if any."""
        if self._key is None:
            return frozenset()
        return frozenset({self._key.engine_id})

    def look(self) -> None:
        """Begin the next prompt, if one is wanted and allowed.

        One that goes on for too long is given up.
        """
        if self._key is not None and self._clock.now_ms() >= self._ends_ms:
            self._give_up()
        if self._key is not None or self._authority.stopping:
            return
        models = self._models()
        may_act = self._authority.may_act() and self._watch.is_serving()
        if not models or not may_act:
            return
        tokens = self._warm_up.next_tokens(
            limit=self._limit, held_tokens=self._gate.held_tokens
        )
        if tokens > warmup.ANSWER_TOKENS:
            self._begin(models[0], tokens)

    def close(self) -> None:
        """Drop the connection to the engine."""
        if self._stream is not None:
            self._stream.stop()

    def _begin(self, name: str, tokens: int) -> None:
        self._count += 1
        key = owned.StreamKey(request_id=self._name, attempt=self._count)
        admitted = self._gate.admit(key=key, work=gates.Work(tokens=tokens))
        if isinstance(admitted, gates.Refused):
            return
        self._key = key
        self._ends_ms = self._clock.now_ms() + WARM_UP_MS
        self._offset = 0
        self._pace = paces.PaceMeter(clock=self._clock)
        self._stream = running.EngineStream(
            reactor=self._reactor,
            engine=self._engine,
            key=key,
            listener=self,
        )
        completion = engines.Completion(
            request_id=key.engine_id,
            model=name,
            adapter='',
            prompt=self._prompt(tokens - warmup.ANSWER_TOKENS),
            delivered=(),
            max_tokens=warmup.ANSWER_TOKENS,
            priority=PRIORITY,
            fence=self._authority.fence,
        )
        self._stream.start(
            completion=completion, may_send=self._authority.may_act
        )

    def _prompt(self, tokens: int) -> str:
        """Return a prompt that no cached prefix fits."""
        size_bytes = tokens * token_counts.BYTES_PER_TOKEN
        unique = f'{self._key.engine_id} '
        return (unique + 'warm up ' * size_bytes)[:size_bytes]

    def _give_up(self) -> None:
        self._warm_up.failed()
        self._end()

    def _end(self) -> None:
        holding = reconcile.Holding(
            collection=reconcile.Collection.STREAMS,
            identifier=self._key.engine_id,
        )
        self._releases.add(holding)
        self._gate.release(key=self._key)
        self._stream.stop()
        self._stream = None
        self._key = None

    def accepted(self, key) -> None:
        """Do nothing: there is nobody to tell."""

    def refused(self, key, kind, retry_after_ms: int) -> None:
        """Give this prompt up."""
        self._give_up()

    def generated(self, key, event: model.TokensGenerated) -> owned.Extent:
        """Measure the pace; the tokens are of no use."""
        if event.offset > self._offset:
            return owned.Extent.GAP
        fresh = event.offset + len(event.tokens) - self._offset
        if fresh <= 0:
            return owned.Extent.KNOWN
        self._offset += fresh
        pace = self._pace.saw_tokens(count=fresh)
        if pace is not None:
            self._limit.saw_pace(ms_per_token=pace)
        return owned.Extent.NEXT

    def finished(self, key, event: model.GenerationFinished) -> None:
        """Count the work, which lets the limit grow."""
        fresh_tokens = event.prompt_tokens - event.cached_tokens
        self._limit.finished(tokens=fresh_tokens + event.generated_tokens)
        self._end()

    def failed(self, key, kind) -> None:
        """Give this prompt up."""
        self._give_up()

    def next_offset(self, key) -> int:
        """Return the offset of the next token to come."""
        return self._offset

    def connection_broke(self) -> None:
        """Hold work until the engine is known to answer."""
        self._watch.doubt()
