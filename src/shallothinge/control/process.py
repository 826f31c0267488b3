"""The control process: runs the server with sockets, replica and timers."""

from collections.abc import Callable
import logging
import pathlib

from twisted.internet import defer
from twisted.internet import task

from shallothinge import clock
from shallothinge import periodic
from shallothinge import process as processes
from shallothinge.control import api
from shallothinge.control import discovery
from shallothinge.control import fleet
from shallothinge.control import hosting
from shallothinge.control import quorum_metrics
from shallothinge.control import server as servers
from shallothinge.control import state
from shallothinge.control import storage_metrics
from shallothinge.leases import client as clients
from shallothinge.settings import model
from shallothinge.settings import watch
from shallothinge.transport import endpoint

LOG = logging.getLogger(__name__)

TICK_MS = 250
FOUNDING_RETRY_S = 1.0
# Longer than an order is given, but for the largest. Together with the leave
# of the replica it stays below the time between SIGTERM and SIGKILL.
API_STOP_LIMIT_MS = 1500
CLUSTER_NAME = 'shallothinge'


class ControlProcess:
    """One control host with a replica of the log."""

    def __init__(
        self,
        *,
        settings: model.ControlSettings,
        process: processes.Process,
        changes: watch.SettingsWatch | None = None,
    ):
        self._settings = settings
        self._process = process
        reactor = process.reactor
        self._replica: api.ReplicatedLog | None = None
        self._server: servers.ControlServer | None = None
        self._host = hosting.ReplicaSupervisor(
            process=process,
            settings=settings,
            make_machine=state.ControlState,
            on_replaced=self._use_replica,
        )
        if changes is not None and settings.discovery is not None:
            changes.subscribe(self._host.update_seeds)
        self._endpoint = self._process.listen(on_message=self._receive)
        self._tick_loop = task.LoopingCall(periodic.run, self._tick)
        self._tick_loop.clock = reactor

    def start(self) -> None:
        """Open the replica and start serving requests.

        :raises StorageError: if the data folder cannot be used.
        """
        self._host.open()
        self._tick_loop.start(TICK_MS / 1000, now=False)
        self._process.reactor.callLater(
            processes.METRICS_DELAY_S, self._publish_metrics
        )
        self._found_cluster_if_first_seed()
        LOG.info(
            'control host is listening',
            extra={'address': self._endpoint.address},
        )

    def _use_replica(self, log: api.ReplicatedLog, machine) -> None:
        """Serve requests from a new replica instead of the previous one."""
        self._replica = log
        self._server = servers.ControlServer(
            log=log,
            machine=machine,
            settings=self._settings,
            clock=self._process.clock,
            wall_clock=clock.WallClock(),
            send=self._send_reply,
            incarnation=self._process.incarnation,
        )

    def _receive(self, peer: endpoint.Peer, message: object) -> None:
        self._server.receive(peer, message)

    def _tick(self) -> None:
        self._server.tick()

    def _publish_metrics(self) -> None:
        self._process.metrics.observe(
            name='replica_disk_full',
            read=lambda: int(self._host.is_disk_full),
        )
        quorum_metrics.publish(
            metrics=self._process.metrics,
            read=lambda: self._replica.quorum(),
        )
        storage_metrics.publish(
            metrics=self._process.metrics,
            read=lambda: self._replica.storage_sizes(),
        )

    def _found_cluster_if_first_seed(self) -> None:
        """Found the cluster on the first start of a deployment.

        The first seed host founds it, with all seed hosts as voters. Hosts
        that are not seeds join later.
        """
        seed_settings = self._settings.discovery
        if (
            seed_settings is None
            or not seed_settings.may_found
            or self._replica.has_cluster
        ):
            return
        seed_ids = discovery.seed_ids(seed_settings)
        if self._process.process_id != seed_ids[0]:
            return
        founded = self._replica.found(
            cluster_id=CLUSTER_NAME, member_ids=seed_ids
        )
        founded.addCallbacks(
            lambda cluster_id: LOG.info(
                'cluster founded', extra={'cluster_id': cluster_id}
            ),
            self._retry_founding,
        )

    def _retry_founding(self, failure) -> None:
        LOG.warning(
            'failed to found the cluster; retrying',
            extra={'cause': failure.getErrorMessage()},
        )
        self._process.reactor.callLater(
            FOUNDING_RETRY_S, self._found_cluster_if_first_seed
        )

    def prepare_stop(self) -> defer.Deferred:
        """Transfer leadership and give up the vote before a planned stop."""
        prepared = self._replica.transfer_leadership()
        prepared.addCallback(lambda _: self._replica.leave())
        return prepared.addErrback(
            lambda failure: LOG.warning(
                'failed to transfer leadership or to give up the vote',
                extra={'cause': failure.getErrorMessage()},
            )
        )

    def _send_reply(self, *, route: bytes, message: object) -> bool:
        return self._endpoint.send(route=route, message=message)


def run(
    *,
    settings: model.ControlSettings,
    folder: pathlib.Path,
    reactor,
    changes: watch.SettingsWatch | None = None,
) -> None:
    """Run a control host until the reactor stops.

    :param folder: folder of the settings file, for relative paths.
    :param changes: notifies of changed settings; only the seeds are applied.
    """
    process = processes.Process(
        reactor=reactor, settings=settings.process, folder=folder
    )
    stops = []
    if settings.log.data_folder:
        control = ControlProcess(
            settings=settings, process=process, changes=changes
        )
        control.start()
        stops.append(control.prepare_stop)
    if settings.api.address:
        stops.append(
            _serve_http_api(
                settings=settings, process=process, changes=changes
            )
        )
    reactor.addSystemEventTrigger('before', 'shutdown', _stop, stops)
    reactor.run()


def _stop(stops: list[Callable[[], defer.Deferred]]) -> defer.Deferred:
    """Stop the parts of a process one after another."""
    stopped = defer.succeed(None)
    for stop in stops:
        stopped.addCallback(lambda _, stop=stop: stop())
    return stopped


def _serve_http_api(
    *,
    settings: model.ControlSettings,
    process: processes.Process,
    changes: watch.SettingsWatch | None,
) -> Callable[[], defer.Deferred]:
    """Serve the HTTP API, which forwards every request to the leader.

    :returns: stops it once the orders that have arrived are answered.
    """
    from shallothinge.http1 import draining
    from shallothinge.http1 import server as http_server
    from shallothinge.platform import control_api
    from shallothinge.platform import dialect

    client = clients.ControlClient(
        process=process,
        hosts=_own_host_first(settings),
        holder=None,
        learns_hosts=settings.discovery is not None,
    )
    client.start()
    if changes is not None and settings.discovery is not None:
        changes.subscribe(
            lambda changed: client.update_seeds(
                tuple(host.process_id for host in _own_host_first(changed))
            )
        )
    api = control_api.ControlApi(
        orders=fleet.FleetOrders(
            client=client,
            operator='platform',
            wall_clock=clock.WallClock(),
        ),
        clock=process.clock,
        http_port=settings.api.address.rpartition(':')[2],
    )
    site = http_server.Site(
        reactor=process.reactor,
        clock=process.clock,
        handle=api.handle,
        refusal=dialect.write_refusal,
        bodies=process.memory.requests,
    )
    port = http_server.listen(
        site=site, address=settings.api.address, reactor=process.reactor
    )

    def stop():
        return draining.Drain(
            site=site,
            reactor=process.reactor,
            limit_ms=API_STOP_LIMIT_MS,
            port=port,
        ).start()

    return stop


def _own_host_first(settings: model.ControlSettings):
    """Return the control hosts to ask, this host first if it has a replica.

    A host without a data folder has no replica and is left out.
    """
    hosts = discovery.hosts_of(settings)
    own_id = settings.process.process_id
    if not settings.log.data_folder:
        return tuple(host for host in hosts if host.process_id != own_id)
    own = model.ControlHost(
        process_id=own_id, address=settings.process.address
    )
    return (own, *(host for host in hosts if host.process_id != own_id))
