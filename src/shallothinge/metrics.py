"""Metrics of one process, by OpenTelemetry, served for Prometheus."""

from collections.abc import Callable

import attrs
from opentelemetry.exporter import prometheus
from opentelemetry.metrics import CallbackOptions
from opentelemetry.metrics import Observation
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk import resources
from opentelemetry.sdk.metrics import view
import prometheus_client
from twisted.internet import endpoints
from twisted.web import resource
from twisted.web import server

from shallothinge import errors

MAX_LABEL_SETS = 10_000
DURATION_BOUNDS_MS = (
    10,
    20,
    50,
    100,
    200,
    500,
    920,
    2_000,
    5_000,
    10_000,
    30_000,
    60_000,
    300_000,
)


@attrs.frozen(kw_only=True)
class TokenCounts:
    """Tokens of one finished request."""

    prompt_tokens: int
    cached_tokens: int
    generated_tokens: int


class Metrics:
    """The instruments of one process and what they have measured.

    :param role: role of the process, such as ``entry``.
    """

    def __init__(self, *, role: str, process_id: str, zone: str, host: str):
        self.registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(
            registry=self.registry,
            scope_info_enabled=False,
            cardinality_limits={sdk.Counter: MAX_LABEL_SETS},
        )
        self._provider = sdk.MeterProvider(
            metric_readers=[reader],
            resource=resources.Resource.create(
                {
                    'service.name': f'shallothinge-{role}',
                    'service.instance.id': process_id,
                    'availability_zone': zone,
                    'host.name': host,
                }
            ),
            views=[
                view.View(
                    instrument_name='first_token',
                    aggregation=view.ExplicitBucketHistogramAggregation(
                        DURATION_BOUNDS_MS
                    ),
                ),
                view.View(
                    instrument_name='send_delay',
                    aggregation=view.ExplicitBucketHistogramAggregation(
                        DURATION_BOUNDS_MS
                    ),
                ),
            ],
            shutdown_on_exit=False,
        )
        meter = self._provider.get_meter('shallothinge')
        self._meter = meter
        self._requests = meter.create_counter(
            'requests', description='Requests by class and outcome.'
        )
        self._first_token = meter.create_histogram(
            'first_token', unit='ms', description='Time to first token.'
        )
        self._send_delay = meter.create_histogram(
            'send_delay',
            unit='ms',
            description='From choosing a backend server to sending.',
        )
        self._tokens = meter.create_counter(
            'tokens', description='Tokens by workspace, model and kind.'
        )
        self._refusals = meter.create_counter(
            'refusals', description='Refused work by error kind.'
        )
        self._retries = meter.create_counter(
            'retries', description='Attempts after the first one.'
        )
        self._hedges = meter.create_counter(
            'hedges', description='Retries of calls with overdue answers.'
        )

    def count_request(self, *, request_class: str, outcome: str) -> None:
        """Count a request that ended.

        :param outcome: ``finished`` or the value of an error kind.
        """
        self._requests.add(
            1, {'request_class': request_class, 'outcome': outcome}
        )

    def record_first_token(
        self, *, duration_ms: int, request_class: str
    ) -> None:
        """Record the time from a request's arrival to its first token."""
        self._first_token.record(duration_ms, {'request_class': request_class})

    def record_send_delay(self, *, duration_ms: int) -> None:
        """Record the time from choosing a backend server to sending."""
        self._send_delay.record(duration_ms)

    def count_tokens(
        self, *, workspace: str, model: str, counts: TokenCounts
    ) -> None:
        """Count the tokens of a finished request."""
        for field in attrs.fields(TokenCounts):
            self._tokens.add(
                getattr(counts, field.name),
                {
                    'workspace': workspace,
                    'model': model,
                    'kind': field.name.removesuffix('_tokens'),
                },
            )

    def count_refusal(self, *, kind: errors.ErrorKind) -> None:
        """Count work that was refused."""
        self._refusals.add(1, {'kind': kind.value})

    def count_retry(self) -> None:
        """Count an attempt after the first one."""
        self._retries.add(1)

    def count_hedge(self) -> None:
        """Count a call sent to a second server while the first has it."""
        self._hedges.add(1)

    def observe_lease(self, *, read_remaining_ms: Callable[[], int]) -> None:
        """Publish for how long the lease still runs."""
        self._observe('lease_remaining', 'ms', read_remaining_ms)

    def observe_queue(self, *, read_requests: Callable[[], int]) -> None:
        """Publish how many requests are queued."""
        self._observe('queue_length', '', read_requests)

    def observe(self, *, name: str, read: Callable[[], int | None]) -> None:
        """Publish another number of the process's state.

        :param read: returns None while the number is not known; it is
            left out then.
        """
        self._observe(name, '', read)

    def observe_view(
        self,
        *,
        readers: dict[str, Callable[[object], int | None]],
        read: Callable[[], object | None],
    ) -> None:
        """Publish several numbers of one view of the process's state.

        :param readers: by name, each returns a number of the view, or None.
        :param read: returns the view, None while there is none.
        """

        def reader_of(read_number):
            def read_if_known() -> int | None:
                view = read()
                return None if view is None else read_number(view)

            return read_if_known

        for name, read_number in readers.items():
            self.observe(name=name, read=reader_of(read_number))

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)

    def _observe(
        self, name: str, unit: str, read: Callable[[], int | None]
    ) -> None:
        def call(options: CallbackOptions) -> list[Observation]:
            number = read()
            return [] if number is None else [Observation(number)]

        self._meter.create_observable_gauge(name, callbacks=[call], unit=unit)


class MetricsResource(resource.Resource):
    """Serves ``GET /metrics``."""

    def __init__(self, *, metrics: Metrics):
        super().__init__()
        self._metrics = metrics
        self.putChild(b'metrics', self)

    def render_GET(self, request: server.Request) -> bytes:
        """Answer with the Prometheus text format."""
        request.setHeader(
            'Content-Type', prometheus_client.CONTENT_TYPE_LATEST
        )
        return self._metrics.text()


def listen(*, metrics: Metrics, address: str, reactor):
    """Serve metrics on ``IP:PORT``.

    :returns: a Deferred that fires with the listening port.
    """
    host, _, port = address.rpartition(':')
    site = server.Site(MetricsResource(metrics=metrics))
    endpoint = endpoints.TCP4ServerEndpoint(reactor, int(port), interface=host)
    return endpoint.listen(site)
