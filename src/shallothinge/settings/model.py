"""Settings of each role, as read from its TOML file.

The names of the fields are the names of the keys in the file.
"""

import attrs


@attrs.frozen(kw_only=True)
class ProcessSettings:
    """What every role needs: table ``[process]``.

    ``address`` is the zmq address that this process listens on;
    ``key_file`` and ``trust_file`` are paths, relative to the file.
    ``is_host_shared`` is false where no other user is on the host, so that
    the key file's mode doesn't matter. ``memory_mb`` is the memory that the
    process may use; 0 if it is not limited to less than that of the host.
    """

    process_id: str
    zone: str
    host: str
    address: str
    key_file: str
    trust_file: str
    log_level: str = 'INFO'
    metrics_address: str = ''
    is_host_shared: bool = True
    memory_mb: int = 0


@attrs.frozen(kw_only=True)
class ControlHost:
    """One control host: array of tables ``[[control_hosts]]``."""

    process_id: str
    address: str


@attrs.frozen(kw_only=True)
class DiscoverySettings:
    """How control hosts find each other: table ``[discovery]``.

    Replaces ``[[control_hosts]]`` where their number isn't known: the
    hosts learn of each other from ``seeds``, addresses ``IP:PORT`` of some
    of them, of which only the IP counts. ``port`` is the zmq port of every
    control host. ``may_found`` allows the seeds to found a cluster, at the
    very first start of a deployment only. ``losses_to_bear`` is how many
    control hosts with their disks may be lost at once.
    """

    seeds: tuple[str, ...]
    port: int
    may_found: bool = False
    losses_to_bear: int = 1


@attrs.frozen(kw_only=True)
class LogSettings:
    """The replicated log at a control host: table ``[log]``.

    Without a ``data_folder`` the host keeps no replica and passes what it
    is asked on to the others. ``disk_mb`` is the size of the disk; 0 if it
    is not limited. A snapshot is taken after ``snapshot_entries`` changes,
    or sooner if they are large.
    """

    data_folder: str
    heartbeat_ms: int = 100
    election_min_ms: int = 500
    election_max_ms: int = 1000
    snapshot_entries: int = 1000
    disk_mb: int = 0


@attrs.frozen(kw_only=True)
class LeaseSettings:
    """Lease times, given by control: table ``[leases]``."""

    duration_ms: int = 3000
    member_silence_ms: int = 3000
    idempotency_retention_days: int = 30


@attrs.frozen(kw_only=True)
class OperatorKey:
    """An operator's Ed25519 public key, hex: ``[[operators]]``."""

    name: str
    public_key: str


@attrs.frozen(kw_only=True)
class ControlApiSettings:
    """HTTP API of a control host: table ``[api]``; none without address."""

    address: str = ''


@attrs.frozen(kw_only=True)
class ControlSettings:
    """File of ``shallothinge control``."""

    process: ProcessSettings
    log: LogSettings
    control_hosts: tuple[ControlHost, ...] = ()
    discovery: DiscoverySettings | None = None
    api: ControlApiSettings = ControlApiSettings()
    leases: LeaseSettings = LeaseSettings()
    operators: tuple[OperatorKey, ...] = ()


@attrs.frozen(kw_only=True)
class HttpSettings:
    """Callers' side of an entry: table ``[http]``.

    Without certificate and key the entry listens in plain HTTP.
    """

    address: str
    certificate_file: str = ''
    private_key_file: str = ''
    max_body_bytes: int = 16 * 1024 * 1024
    max_header_bytes: int = 16 * 1024
    request_timeout_ms: int = 10_000


@attrs.frozen(kw_only=True)
class AdmissionSettings:
    """Limits of an entry: table ``[admission]``."""

    queue_requests: int = 2000
    long_prompt_tokens: int = 100_000
    long_share_percent: int = 40
    retry_percent: int = 10
    default_deadline_ms: int = 60_000
    max_deadline_ms: int = 3_600_000
    stop_wait_ms: int = 1000


@attrs.frozen(kw_only=True)
class RoutingSettings:
    """How an entry chooses backend servers: table ``[routing]``.

    ``policy`` is ``random``, ``round_robin``, ``two_choices`` or
    ``least_first_token``. ``max_servers`` bounds how many backend servers
    of each model or service the entry keeps connections to; 0 means all.
    """

    policy: str = 'least_first_token'
    max_servers: int = 0


@attrs.frozen(kw_only=True)
class EntrySettings:
    """File of ``shallothinge entry``."""

    process: ProcessSettings
    http: HttpSettings
    control_hosts: tuple[ControlHost, ...]
    admission: AdmissionSettings = AdmissionSettings()
    routing: RoutingSettings = RoutingSettings()


@attrs.frozen(kw_only=True)
class CallersSettings:
    """Callers' side of a gateway: table ``[callers]``.

    ``readiness_address`` answers the balancer. ``stop_wait_ms`` is how long
    the gateway still takes requests after it was told to stop, until the
    balancer has noticed; after ``stop_limit_ms`` it answers or cuts what is
    in progress, and ends.
    """

    address: str
    readiness_address: str
    stop_wait_ms: int = 2500
    stop_limit_ms: int = 7400


@attrs.frozen(kw_only=True)
class RetrySettings:
    """Repeats of all gateways together: table ``[retries]``.

    In any ``window_ms`` a service may get ``percent`` of its requests and
    ``slack_requests`` more as repeats.
    """

    percent: int = 20
    slack_requests: float = 100
    window_ms: int = 10_000


@attrs.frozen(kw_only=True)
class ColdSettings:
    """What a cold backend server may get: table ``[cold]``.

    In any second a cold backend server gets no more than its service's
    rate and ``slack_requests``, from all gateways together.
    """

    slack_requests: float = 5


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """File of ``shallothinge gateway``."""

    process: ProcessSettings
    callers: CallersSettings
    discovery: DiscoverySettings
    retries: RetrySettings = RetrySettings()
    cold: ColdSettings = ColdSettings()


@attrs.frozen(kw_only=True)
class EngineSettings:
    """The backend server beside an agent: table ``[backend]``.

    ``kind`` is ``model`` or ``service``; ``url`` is its HTTP address.
    """

    kind: str
    url: str
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    memory_tokens: int = 0
    checks_fencing: bool = False
    cold_limit_tokens: int = 8_000
    max_streams: int = 64


@attrs.frozen(kw_only=True)
class AgentSettings:
    """File of ``shallothinge agent``."""

    process: ProcessSettings
    backend: EngineSettings
    control_hosts: tuple[ControlHost, ...]


@attrs.frozen(kw_only=True)
class OperatorIdentity:
    """Who gives orders from a terminal: table ``[operator]``.

    ``signing_key_file`` holds the operator's Ed25519 private key,
    ``key_file`` the curve key of the role ``operator``.
    """

    name: str
    signing_key_file: str
    key_file: str
    trust_file: str


@attrs.frozen(kw_only=True)
class OperatorSettings:
    """File that ``--operator-settings`` names."""

    operator: OperatorIdentity
    control_hosts: tuple[ControlHost, ...]
