"""Settings, requests and refusals of the stand-in backend servers."""

import enum

import attrs


@attrs.frozen(kw_only=True)
class EngineOptions:
    """Settings of a stand-in model engine: table ``[engine]``.

    A cold engine works ``cold_slowdown`` times slower and falls over when
    the tokens of its streams exceed ``cold_limit_tokens`` plus
    ``cold_growth_percent`` of the tokens worked off since it turned cold;
    it is warm after ``warm_up_tokens``. Cache events appear
    ``event_lag_ms`` late and each ``event_gap_every``-th one is lost (0:
    none is). ``own_url`` is the engine's address as parts of spanning
    prompts name it.
    """

    models: tuple[str, ...] = ('small@1',)
    adapters: tuple[str, ...] = ()
    memory_tokens: int = 120_000
    step_ms: int = 10
    prefill_tokens_per_s: int = 200_000
    decode_cost_tokens: int = 8
    max_running: int = 64
    max_waiting: int = 256
    answer_tokens: int = 0
    starts_cold: bool = False
    cold_slowdown: int = 4
    cold_limit_tokens: int = 16_000
    cold_growth_percent: int = 100
    warm_up_tokens: int = 60_000
    restart_ms: int = 500
    load_lag_ms: int = 200
    event_lag_ms: int = 200
    event_gap_every: int = 0
    checks_fencing: bool = False
    weight_store_url: str = ''
    own_url: str = ''


@attrs.frozen(kw_only=True)
class ServiceOptions:
    """Settings of a stand-in plain service: table ``[service]``."""

    delay_ms: int = 0


@attrs.frozen(kw_only=True)
class WeightStoreOptions:
    """Settings of the stand-in weight store: table ``[weights]``."""

    loads_per_minute: int = 60
    burst_loads: int = 4


@attrs.frozen(kw_only=True)
class EngineFile:
    """Settings file of ``shallothinge standin engine``."""

    engine: EngineOptions = EngineOptions()


@attrs.frozen(kw_only=True)
class ServiceFile:
    """Settings file of ``shallothinge standin service``."""

    service: ServiceOptions = ServiceOptions()


@attrs.frozen(kw_only=True)
class WeightStoreFile:
    """Settings file of ``shallothinge standin weights``."""

    weights: WeightStoreOptions = WeightStoreOptions()


@attrs.frozen(kw_only=True)
class Part:
    """Memory reserved on one engine for a share of a spanning prompt."""

    reservation_id: str
    url: str
    tokens: int


@attrs.frozen(kw_only=True)
class CompletionRequest:
    """Body of ``POST /v1/completions``."""

    request_id: str
    model: str
    prompt: str
    adapter: str = ''
    delivered: tuple[str, ...] = ()
    max_tokens: int = 256
    priority: int = 0
    fence: int = 0
    parts: tuple[Part, ...] = ()


@attrs.frozen(kw_only=True)
class OrderRequest:
    """Body of ``POST /v1/orders``."""

    order: str
    model: str = ''
    adapter: str = ''
    role: str = ''
    fence: int = 0


@attrs.frozen(kw_only=True)
class Faults:
    """Body of ``POST /faults`` of an engine."""

    freeze_ms: int = 0
    crash: bool = False
    turn_cold: bool = False
    fail_after_tokens: int | None = None
    drop_events: bool | None = None
    refuse_all: bool | None = None


@attrs.frozen(kw_only=True)
class ServiceFaults:
    """Body of ``POST /faults`` of a plain service.

    ``drop_answer`` is the number of calls that run but whose connection
    is closed without an answer.
    """

    delay_ms: int | None = None
    drop_answer: int | None = None


class Refusal(enum.Enum):
    """Why an engine does not do what it was asked."""

    BAD_REQUEST = 'bad_request'
    NOT_FOUND = 'not_found'
    MODEL_NOT_LOADED = 'model_not_loaded'
    DUPLICATE_REQUEST = 'duplicate_request'
    STALE_FENCE = 'stale_fence'
    MEMORY_FULL = 'memory_full'
    OVERLOADED = 'overloaded'
    NOT_READY = 'not_ready'
    WEIGHT_STORE_BUSY = 'weight_store_busy'


HTTP_STATUSES = {
    Refusal.BAD_REQUEST: 400,
    Refusal.NOT_FOUND: 404,
    Refusal.MODEL_NOT_LOADED: 404,
    Refusal.DUPLICATE_REQUEST: 409,
    Refusal.STALE_FENCE: 409,
    Refusal.MEMORY_FULL: 503,
    Refusal.OVERLOADED: 503,
    Refusal.NOT_READY: 503,
    Refusal.WEIGHT_STORE_BUSY: 503,
}


class EngineRefused(Exception):
    """The engine refused; nothing was changed by the request."""

    def __init__(
        self, *, kind: Refusal, detail: str = '', retry_after_s: int = 0
    ):
        super().__init__(f'{kind.value}: {detail}')
        self.kind = kind
        self.detail = detail
        self.retry_after_s = retry_after_s
