"""What every process of the system has: keys, sockets, clock, identity."""

from collections.abc import Callable
import functools
import importlib
import logging
import pathlib
import secrets
import sys

import attrs
from twisted.internet import threads
import zmq

from shallothinge import clock
from shallothinge import memory
from shallothinge import periodic
from shallothinge import protocol
from shallothinge.settings import model
from shallothinge.transport import authenticator
from shallothinge.transport import endpoint
from shallothinge.transport import keys
from shallothinge.transport import link
from shallothinge.transport import messages
from shallothinge.transport import traffic as traffics

LOG = logging.getLogger(__name__)

INCARNATION_BYTES = 8
# By then a started process has asked for its lease or its log's leader, and
# waits for the answer.
METRICS_DELAY_S = 0.1
METRICS_MODULE = 'shallothinge.metrics'
# Many more than a process counts while it loads the libraries.
HELD_CALLS = 10_000


class EarlyMetrics:
    """Takes what is counted before the metrics' libraries are loaded."""

    def __init__(self):
        self._held: list[tuple[str, dict[str, object]]] = []

    def __getattr__(self, method: str) -> Callable[..., None]:
        return functools.partial(self._hold, method)

    def _hold(self, method: str, /, **arguments: object) -> None:
        if len(self._held) < HELD_CALLS:
            self._held.append((method, arguments))

    def pass_on(self, metrics) -> None:
        """Make the calls that were held."""
        for method, arguments in self._held:
            getattr(metrics, method)(**arguments)
        self._held.clear()


class Process:
    """Keys, sockets, clock and identity of one running process.

    :param settings: the process's own table of its settings file.
    :param folder: folder of the settings file, for relative paths.
    """

    def __init__(
        self,
        *,
        reactor,
        settings: model.ProcessSettings,
        folder: pathlib.Path,
    ):
        self.reactor = reactor
        self.settings = settings
        self.folder = folder
        self.process_id = settings.process_id
        self.incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.clock = clock.MonotonicClock()
        self.memory = memory.divide(settings.memory_mb)
        self.codec = protocol.build_codec()
        self.key_pair = keys.read_key_pair(
            path=folder / settings.key_file,
            is_private=settings.is_host_shared,
        )
        self.trust = keys.read_trust(path=folder / settings.trust_file)
        self.traffic = {role: traffics.Traffic() for role in keys.ROLES}
        self._is_closed = False
        self._metrics = None
        self._early_metrics: EarlyMetrics | None = None
        self._context = zmq.Context()
        self._authenticator = authenticator.start(
            context=self._context, trust=self.trust
        )
        if settings.metrics_address:
            if METRICS_MODULE not in sys.modules:
                self._early_metrics = EarlyMetrics()
            reactor.callLater(METRICS_DELAY_S, self._load_metrics)

    @property
    def metrics(self):
        """The process's metrics, or what stands for them until they load.

        Their libraries take a quarter of the time of a start; they are not
        needed before the process serves.
        """
        if self._early_metrics is not None:
            return self._early_metrics
        if self._metrics is None:
            self._metrics = self._make_metrics()
        return self._metrics

    def _make_metrics(self):
        from shallothinge import metrics

        made = metrics.Metrics(
            role=self.key_pair.role,
            process_id=self.settings.process_id,
            zone=self.settings.zone,
            host=self.settings.host,
        )
        for role, traffic in self.traffic.items():
            for field in attrs.fields(traffics.Traffic):
                made.observe(
                    name=f'connections_{role}_{field.name}',
                    read=functools.partial(getattr, traffic, field.name),
                )
        made.observe(
            name='periodic_step_failures',
            read=lambda: periodic.FAILURES.count,
        )
        made.observe(
            name='memory_resident_bytes', read=memory.read_resident_bytes
        )
        for share in (self.memory.answers, self.memory.requests):
            for name in ('held_bytes', 'exceeded_count'):
                made.observe(
                    name=f'memory_{share.name}_{name}',
                    read=functools.partial(getattr, share, name),
                )
        return made

    def listen(
        self, *, on_message: Callable[[endpoint.Peer, object], None]
    ) -> endpoint.Endpoint:
        """Listen on the process's own address."""
        return endpoint.Endpoint(
            reactor=self.reactor,
            context=self._context,
            address=self.settings.address,
            key_pair=self.key_pair,
            trust=self.trust,
            codec=self.codec,
            on_message=on_message,
            traffic=self.traffic[self.key_pair.role],
        )

    def connect(
        self,
        *,
        address: str,
        role: str,
        on_message: Callable[[object], None],
        on_reset: Callable[[], None] | None = None,
    ) -> link.Link:
        """Open a connection to a process of a role.

        The key that the other end must prove to hold is the role's.
        """
        return link.Link(
            reactor=self.reactor,
            context=self._context,
            address=address,
            server_key=self.trust.key_of(role=role),
            key_pair=self.key_pair,
            hello=messages.Hello(
                process_id=self.process_id, incarnation=self.incarnation
            ),
            codec=self.codec,
            clock=self.clock,
            on_message=on_message,
            on_reset=on_reset,
            traffic=self.traffic[role],
        )

    def _load_metrics(self) -> None:
        """Load the libraries, while the process serves in its own thread."""
        if self._is_closed:
            return
        loading = threads.deferToThreadPool(
            self.reactor,
            self.reactor.getThreadPool(),
            importlib.import_module,
            METRICS_MODULE,
        )
        loading.addCallback(self._serve_metrics)
        loading.addErrback(
            lambda failure: LOG.error(
                'metrics are not served',
                extra={'cause': failure.getErrorMessage()},
            )
        )

    def _serve_metrics(self, module):
        if self._is_closed:
            return None
        early, self._early_metrics = self._early_metrics, None
        if early is not None:
            early.pass_on(self.metrics)
        return module.listen(
            metrics=self.metrics,
            address=self.settings.metrics_address,
            reactor=self.reactor,
        )

    def close(self) -> None:
        """Stop authentication and drop every connection."""
        self._is_closed = True
        self._authenticator.stop()
        self._context.destroy(linger=0)
