"""Model of the route table: routes, services, workspaces and limits."""

import enum

import attrs

from shallothinge.http1 import messages

MILLION_PAIRS = 1_000_000


class RequestKind(enum.Enum):
    """Whether a request may be retried: ``SAFE`` may, ``UNSAFE`` may not.

    ``STREAMING`` requests are unsafe unless their route is resumable.
    """

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAMING = 'streaming'


@attrs.frozen(kw_only=True)
class EngineCost:
    """Cost model of a model engine, from the service's description.

    The prefill of ``n`` prompt tokens takes ``n / read_tokens_per_ms`` plus
    ``pair_ms_per_million`` for each million of the ``n * n / 2`` pairs of
    tokens. One step prefills at most ``chunk_tokens``; a pass with decoding
    requests has ``steps_per_pass`` steps.
    """

    slots: int
    memory_tokens: int
    step_ms: float
    read_tokens_per_ms: float
    pair_ms_per_million: float
    chunk_tokens: int
    steps_per_pass: int

    def read_ms(self, tokens: int) -> float:
        """Return the prefill time of a prompt on one engine, on its own."""
        pairs = tokens * tokens / 2
        return (
            tokens / self.read_tokens_per_ms
            + pairs / MILLION_PAIRS * self.pair_ms_per_million
        )

    @property
    def pass_ms(self) -> float:
        """Return the duration of a pass with decoding and no prefill."""
        return self.step_ms * self.steps_per_pass


@attrs.frozen(kw_only=True)
class Service:
    """A group of interchangeable backend servers.

    ``cold_requests_per_s`` is the request rate that a backend server can
    handle while it is cold, 0 if it is never cold.
    """

    name: str
    cold_requests_per_s: float = 0.0
    engine: EngineCost | None = None


@attrs.frozen(kw_only=True)
class Split:
    """A service's share of a route's requests."""

    service: str
    weight: int


@attrs.frozen(kw_only=True)
class Route:
    """Where the requests of one host and path prefix go.

    ``objective_ms`` is the latency objective for the first event or the
    answer, ``pause_objective_ms`` that for the pause between two events.
    ``attempts`` limits the backend servers that one request is sent to.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_ms: int
    split: tuple[Split, ...]
    objective_ms: int = 1000
    pause_objective_ms: int = 1000
    priority: int = 1
    attempts: int = 2
    is_anonymous: bool = False
    is_resumable: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.is_resumable
        return self.kind is RequestKind.SAFE


@attrs.frozen(kw_only=True)
class Workspace:
    """A workspace and the API keys of its callers."""

    name: str
    api_keys: tuple[str, ...] = attrs.field(repr=False)
    priority: int | None = None


@attrs.frozen(kw_only=True)
class RouteTable:
    """All routes of one version.

    Unless ``needs_keys`` is False, only anonymous routes serve requests
    without the key of a workspace, also if there is no workspace.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    needs_keys: bool = True
    workspaces: tuple[Workspace, ...] = ()
    limits: messages.Limits = messages.Limits()

    @property
    def is_closed(self) -> bool:
        """Return whether nobody holds a key, though keys are needed."""
        return self.needs_keys and not self.workspaces
