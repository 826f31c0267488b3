"""The entry's connections to agents and what it knows of each.

Connections follow the membership of the lease: they are opened to each
new incarnation of a backend server and closed when it has left and none
of the entry's requests is in flight there.
"""

from collections.abc import Callable
import logging

import attrs

from shallothinge import clock as clocks
from shallothinge.leases import holder as holders
from shallothinge.membership.model import BackendServer
from shallothinge.reservations import plan as plans
from shallothinge.routing import breaker as breakers
from shallothinge.routing import choice
from shallothinge.routing import filters
from shallothinge.routing import prefixes as views
from shallothinge.routing import subset
from shallothinge.streams import messages

LOG = logging.getLogger(__name__)

DEFAULT_LIMIT_TOKENS = 16_000
LOST_MS = 4000


@attrs.frozen(kw_only=True)
class Prefill:
    """A prompt that has no first token yet."""

    tokens: int
    priority: int


@attrs.define(kw_only=True)
class Connection:
    """A backend server with its connection and the entry's own counts.

    ``in_flight`` holds the tokens of each request by its id, and
    ``prefilling`` those requests that have no first token yet.
    """

    server: BackendServer
    breaker: breakers.CircuitBreaker
    link: object = None
    load: messages.LoadReport | None = None
    prefixes: views.PrefixView = attrs.field(factory=views.PrefixView)
    in_flight: dict = attrs.field(factory=dict)
    prefilling: dict = attrs.field(factory=dict)
    is_member: bool = True
    is_stopping: bool = False

    @property
    def is_silent(self) -> bool:
        """Return whether nothing was heard of the agent for too long."""
        return self.link.silent_ms > LOST_MS

    @property
    def own_tokens(self) -> int:
        """Return the entry's own tokens in flight there."""
        return sum(self.in_flight.values())

    def prefill_tokens_before(self, *, priority: int) -> int:
        """Return the own prefill that goes before a new request's."""
        return sum(
            each.tokens
            for each in self.prefilling.values()
            if each.priority <= priority
        )

    @property
    def limit_tokens(self) -> int:
        """Return the limit of its gate, as last known."""
        if self.load is not None and self.load.limit_tokens:
            return self.load.limit_tokens
        return self.server.memory_tokens or DEFAULT_LIMIT_TOKENS

    @property
    def free_tokens(self) -> int:
        """Return what the entry's own requests may hold in all there."""
        held_tokens = self.load.held_tokens if self.load else 0
        others_tokens = max(0, held_tokens - self.own_tokens)
        return max(0, self.limit_tokens - others_tokens)


class Fleet:
    """Connections to agents, by backend server.

    :param connect: opens a connection; called with ``address``,
        ``on_message`` and ``on_reset``.
    :param on_message: called with the server id and each message but
        status reports.
    :param on_reset: called with the server id after its connection was
        replaced.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        entry_id: str,
        holder: holders.LeaseHolder,
        connect: Callable,
        on_message: Callable[[str, object], None],
        on_reset: Callable[[str], None],
        max_servers: int = 0,
    ):
        self._clock = clock
        self._entry_id = entry_id
        self._holder = holder
        self._connect = connect
        self._on_message = on_message
        self._on_reset = on_reset
        self._max_servers = max_servers
        self.connections: dict[str, Connection] = {}

    def refresh(self) -> None:
        """Open and close connections as the membership has changed."""
        wanted = subset.choose_subset(
            entry_id=self._entry_id,
            servers=self._holder.members.values(),
            max_servers=self._max_servers,
        )
        for server_id, connection in list(self.connections.items()):
            connection.is_member = server_id in wanted
            if not connection.is_member and not connection.in_flight:
                connection.link.close()
                del self.connections[server_id]
        for server in wanted.values():
            self._keep(server)

    def candidates(
        self, *, need: filters.Requirements, hashes: tuple[str, ...] = ()
    ) -> dict[str, choice.Candidate]:
        """Return the backend servers that may take a request, by id.

        Servers whose agents are silent get no new work.

        :param hashes: block hashes of the prompt.
        """
        found = {}
        for connection in self._usable(need=need):
            if connection.is_silent:
                continue
            if connection.breaker.allows_request():
                candidate = _candidate(
                    connection, hashes=hashes, priority=need.priority
                )
                found[candidate.server_id] = candidate
        return found

    def knows(self, *, need: filters.Requirements) -> bool:
        """Return whether a connected backend server has what is needed."""
        return any(True for _ in self._offering(need=need))

    def capacity_tokens(self, *, need: filters.Requirements) -> int:
        """Return what the entry may have running on servers for a need."""
        return sum(each.free_tokens for each in self._usable(need=need))

    def largest_tokens(self, *, need: filters.Requirements) -> int:
        """Return the largest memory of one server that has what is needed."""
        return max(
            (each.server.memory_tokens for each in self._offering(need=need)),
            default=0,
        )

    def total_tokens(self, *, need: filters.Requirements) -> int:
        """Return the memory of all servers that have what is needed."""
        offering = self._offering(need=need)
        return sum(each.server.memory_tokens for each in offering)

    def rooms(self, *, candidates) -> list[plans.Room]:
        """Return the free memory of candidates, for a spanning prompt."""
        found = []
        for candidate in candidates:
            connection = self.connections[candidate.server_id]
            free_tokens = connection.free_tokens - connection.own_tokens
            found.append(
                plans.Room(
                    server_id=candidate.server_id,
                    url=connection.server.engine_url,
                    free_tokens=free_tokens,
                )
            )
        return found

    def hold(self, *, server_id: str, hold_id: str, tokens: int) -> None:
        """Count memory that is reserved at a backend server."""
        connection = self.connections.get(server_id)
        if connection is not None:
            connection.in_flight[hold_id] = tokens

    def unhold(self, *, server_id: str, hold_id: str) -> None:
        """Count reserved memory no longer."""
        connection = self.connections.get(server_id)
        if connection is not None:
            connection.in_flight.pop(hold_id, None)

    def send(self, *, server_id: str, message: object) -> bool:
        """Send to an agent.

        :returns: False if the message did not leave this process.
        """
        connection = self.connections.get(server_id)
        return connection is not None and connection.link.send(message)

    def begin(
        self,
        *,
        server_id: str,
        request_id: str,
        tokens: int,
        priority: int = 0,
    ) -> None:
        """Count a request as in flight at a backend server."""
        connection = self.connections[server_id]
        connection.in_flight[request_id] = tokens
        connection.prefilling[request_id] = Prefill(
            tokens=tokens, priority=priority
        )
        connection.breaker.record_sent()

    def prefilled(self, *, server_id: str, request_id: str) -> None:
        """Note that a request got its first token."""
        connection = self.connections.get(server_id)
        if connection is not None:
            connection.prefilling.pop(request_id, None)

    def end(
        self, *, server_id: str, request_id: str, succeeded: bool | None
    ) -> None:
        """Count a request no longer.

        :param succeeded: how the backend server did; None tells nothing.
        """
        connection = self.connections.get(server_id)
        if connection is None:
            return
        connection.prefilling.pop(request_id, None)
        if connection.in_flight.pop(request_id, None) is None:
            return
        if succeeded is None:
            connection.breaker.record_unknown_outcome()
        elif succeeded:
            connection.breaker.record_success()
        else:
            connection.breaker.record_failure()

    def is_lost(self, *, server_id: str) -> bool:
        """Return whether nothing was heard from an agent for too long."""
        connection = self.connections.get(server_id)
        return connection is None or connection.is_silent

    def announce_owned(self) -> None:
        """Tell each agent which of its streams are still wanted."""
        for connection in self.connections.values():
            owned = messages.StreamsOwned(
                entry_id=self._entry_id,
                request_ids=tuple(connection.in_flight),
            )
            connection.link.send(owned)

    def describe(self) -> list[dict]:
        """Return what is known of each backend server, for dumps."""
        return [
            {
                'server': attrs.asdict(each.server),
                'load': attrs.asdict(each.load) if each.load else None,
                'cached_blocks': len(each.prefixes),
                'in_flight': dict(each.in_flight),
                'breaker_allows': each.breaker.allows_request(),
                'silent_ms': each.link.silent_ms,
            }
            for each in self.connections.values()
        ]

    def close(self) -> None:
        """Close every connection."""
        for connection in self.connections.values():
            connection.link.close()
        self.connections.clear()

    def _offering(self, *, need: filters.Requirements):
        for connection in self.connections.values():
            if filters.meets_requirements(server=connection.server, need=need):
                yield connection

    def _usable(self, *, need: filters.Requirements):
        config = self._holder.config
        for connection in self.connections.values():
            if not connection.is_member or connection.is_stopping:
                continue
            if filters.is_eligible(
                server=connection.server, config=config, need=need
            ):
                yield connection

    def _keep(self, server: BackendServer) -> None:
        connection = self.connections.get(server.server_id)
        if connection is None:
            connection = Connection(
                server=server,
                breaker=breakers.CircuitBreaker(clock=self._clock),
            )
            self.connections[server.server_id] = connection
            self._open(connection)
            return
        old = connection.server
        connection.server = server
        if (old.incarnation, old.address) != (
            server.incarnation,
            server.address,
        ):
            self._replace(connection)

    def _open(self, connection: Connection) -> None:
        server_id = connection.server.server_id
        connection.link = self._connect(
            address=connection.server.address,
            on_message=lambda message: self._receive(connection, message),
            on_reset=lambda: self._on_reset(server_id),
        )

    def _replace(self, connection: Connection) -> None:
        """Connect to a new incarnation, which knows nothing of the old."""
        connection.link.close()
        connection.load = None
        connection.is_stopping = False
        connection.prefixes = views.PrefixView()
        connection.breaker = breakers.CircuitBreaker(clock=self._clock)
        self._open(connection)
        self._on_reset(connection.server.server_id)

    def _receive(self, connection: Connection, message: object) -> None:
        load = getattr(message, 'load', None)
        if load is not None:
            connection.load = load
        if isinstance(message, messages.AgentStatus):
            self._take_status(connection, message)
        elif isinstance(message, messages.FrameBatch):
            for frame in message.frames:
                self._on_message(connection.server.server_id, frame)
        else:
            self._on_message(connection.server.server_id, message)

    def _take_status(self, connection, status: messages.AgentStatus) -> None:
        connection.is_stopping = status.stopping
        needs_listing = connection.prefixes.apply_report(
            sequence=status.sequence,
            added=status.cached_added,
            removed=status.cached_removed,
            full_listing=status.full_listing,
        )
        if needs_listing:
            request = messages.CacheListingRequested(entry_id=self._entry_id)
            connection.link.send(request)


def _candidate(
    connection: Connection, *, hashes: tuple[str, ...], priority: int
) -> choice.Candidate:
    load = connection.load
    return choice.Candidate(
        server_id=connection.server.server_id,
        zone=connection.server.zone,
        limit_tokens=connection.limit_tokens,
        own_tokens=connection.own_tokens,
        own_prefill_tokens=connection.prefill_tokens_before(priority=priority),
        reported_tokens=load.held_tokens if load else 0,
        backlog_tokens=load.prefill_backlog_tokens if load else 0,
        waiting=load.waiting if load else 0,
        cached_tokens=connection.prefixes.cached_tokens(hashes),
        cold=bool(load and load.cold),
    )
