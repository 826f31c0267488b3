"""Drivers of the cores that golden sessions are recorded of."""

import attrs

from shallothinge import clock as clocks
from shallothinge.control import commands
from shallothinge.control import state
from shallothinge.leases import holder as holders
from shallothinge.leases import messages as leases
from shallothinge.leases import table
from shallothinge.standin import engine as engines
from shallothinge.standin import model as standin
from shallothinge.streams import assembly
from shallothinge.streams import messages as streams

REQUEST_ID = 'r1'
LEASE_MS = 3000


@attrs.frozen(kw_only=True)
class BeginAttempt:
    """Start another attempt of the request."""


@attrs.frozen(kw_only=True)
class ConnectionReplaced:
    """The connection was replaced; ask for the next token again."""


@attrs.frozen(kw_only=True)
class Nothing:
    """The core dropped the message."""


class StreamDriver:
    """Assembly of one caller's answer at an entry."""

    input_types = (
        BeginAttempt,
        ConnectionReplaced,
        streams.StreamFrame,
        streams.StreamFinished,
        streams.StreamFailed,
    )

    def __init__(self, *, clock: clocks.ManualClock):
        self._assembly = assembly.Assembly(request_id=REQUEST_ID)

    def take(self, message: object) -> list[object]:
        """Give a message of the stream to the assembly."""
        if isinstance(message, BeginAttempt):
            self._assembly.begin_attempt()
            return []
        if isinstance(message, ConnectionReplaced):
            return [self._assembly.resume()]
        return [self._assembly.take(message) or Nothing()]


@attrs.frozen(kw_only=True)
class Restart:
    """The control host restarts from its snapshot."""


class ControlDriver:
    """The state machine of the replicated log."""

    input_types = (
        Restart,
        *(
            each
            for each in commands.build_codec().message_types
            if each is not commands.Stamped
        ),
    )

    def __init__(self, *, clock: clocks.ManualClock):
        self._clock = clock
        self._codec = commands.build_codec()
        self._machine = state.ControlState()
        self._index = 0

    def take(self, message: object) -> list[object]:
        """Apply a command; show its answer and a changed configuration."""
        before = self._machine.data.config
        if isinstance(message, Restart):
            snapshot = self._machine.snapshot()
            self._machine = state.ControlState()
            self._machine.restore(snapshot)
            return [self._machine.data.config]
        self._index += 1
        stamped = commands.Stamped(
            now_ms=self._clock.now_ms(), command=self._codec.encode(message)
        )
        answer = self._machine.apply(
            index=self._index, command=self._codec.encode(stamped)
        )
        outputs = [self._codec.decode(answer)]
        if self._machine.data.config != before:
            outputs.append(self._machine.data.config)
        return outputs


@attrs.frozen(kw_only=True)
class AskLease:
    """A holder sends a request, which control gets at once."""

    holder_id: str


@attrs.frozen(kw_only=True)
class DeliverGrant:
    """The answer to a holder's last request arrives."""

    holder_id: str


@attrs.frozen(kw_only=True)
class ChangeConfig:
    """A change is committed."""

    state_version: int


@attrs.frozen(kw_only=True)
class Look:
    """Note who may act, and who is waited for."""


@attrs.frozen(kw_only=True)
class Seen:
    """What the holders may do, and whom control waits for."""

    remaining_ms: dict[str, int]
    versions: dict[str, int]
    waiting_for: tuple[str, ...]


class LeaseDriver:
    """Control's lease table with the holders that it grants to."""

    input_types = (AskLease, DeliverGrant, ChangeConfig, Look)

    def __init__(self, *, clock: clocks.ManualClock):
        self._clock = clock
        self._version = 1
        self._holders = {}
        self._grants = {}
        self._table = table.LeaseTable(
            clock=clock, duration_ms=LEASE_MS, elected_ms=0
        )

    def take(self, message: object) -> list[object]:
        """Do one step of a holder or of control."""
        if isinstance(message, AskLease):
            return [self._ask(message.holder_id)]
        if isinstance(message, DeliverGrant):
            grant = self._grants[message.holder_id]
            self._holders[message.holder_id].apply_grant(grant)
            return [self._look()]
        if isinstance(message, ChangeConfig):
            self._version = message.state_version
        return [self._look()]

    def _ask(self, holder_id: str) -> leases.LeaseGranted:
        if holder_id not in self._holders:
            self._holders[holder_id] = holders.LeaseHolder(
                clock=self._clock,
                holder_id=holder_id,
                incarnation='1',
                role='entry',
                wants_members=False,
            )
        request = self._holders[holder_id].next_request()
        duration_ms = self._table.grant(
            request=request, config_version=self._version
        )
        config = None
        if request.config_version < self._version:
            config = holders.ServingConfig(state_version=self._version)
        grant = leases.LeaseGranted(
            sequence=request.sequence,
            duration_ms=duration_ms,
            state_version=self._version,
            config=config,
        )
        self._grants[holder_id] = grant
        return grant

    def _look(self) -> Seen:
        return Seen(
            remaining_ms={
                name: holder.remaining_ms
                for name, holder in self._holders.items()
            },
            versions={
                name: holder.config.state_version
                for name, holder in self._holders.items()
            },
            waiting_for=self._table.waiting_for(version=self._version),
        )


@attrs.frozen(kw_only=True)
class Steps:
    """Let the engine do some batch steps."""

    count: int


@attrs.frozen(kw_only=True)
class Cancel:
    """Cancel a stream."""

    request_id: str


@attrs.frozen(kw_only=True)
class Refused:
    """The engine refused a request."""

    kind: standin.Refusal


@attrs.frozen(kw_only=True)
class EngineSeen:
    """Streams by id with their state and offset, and the memory held."""

    streams: dict[str, tuple[str, int]]
    held_tokens: int
    cold: bool


class EngineDriver:
    """The stand-in engine, cold at its start."""

    input_types = (standin.CompletionRequest, Steps, Cancel)

    def __init__(self, *, clock: clocks.ManualClock):
        self._clock = clock
        self._incarnations = iter('abcdefgh')
        self._engine = engines.Engine(
            clock=clock,
            options=standin.EngineOptions(
                memory_tokens=4000,
                starts_cold=True,
                cold_limit_tokens=1500,
                warm_up_tokens=1000,
                restart_ms=100,
            ),
            make_incarnation=lambda: next(self._incarnations),
        )

    def take(self, message: object) -> list[object]:
        """Give a request to the engine, or let it work."""
        if isinstance(message, Steps):
            for _ in range(message.count):
                self._engine.step()
        elif isinstance(message, Cancel):
            self._engine.cancel(message.request_id)
        else:
            try:
                self._engine.start(message)
            except standin.EngineRefused as refused:
                return [Refused(kind=refused.kind), self._look()]
        return [self._look()]

    def _look(self) -> EngineSeen:
        return EngineSeen(
            streams={
                name: (stream.state.value, stream.offset)
                for name, stream in self._engine.streams.items()
            },
            held_tokens=self._engine.memory.held_tokens,
            cold=self._engine.cold,
        )


DRIVERS = {
    'control': ControlDriver,
    'engine': EngineDriver,
    'lease': LeaseDriver,
    'stream': StreamDriver,
}
