"""The control process: sockets, replica and timers around the server."""

import logging
import pathlib

from twisted.internet import task

from shallothinge import clock
from shallothinge import process as processes
from shallothinge.control import api
from shallothinge.control import discovery
from shallothinge.control import fleet
from shallothinge.control import hosting
from shallothinge.control import quorum_metrics
from shallothinge.control import server as servers
from shallothinge.control import state
from shallothinge.leases import client as clients
from shallothinge.settings import model
from shallothinge.settings import watch
from shallothinge.transport import endpoint

LOG = logging.getLogger(__name__)

TICK_MS = 250
FOUND_AGAIN_S = 1.0
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
        self._host = hosting.ReplicaHost(
            process=process,
            settings=settings,
            make_machine=state.ControlState,
            on_replaced=self._serve,
        )
        if changes is not None and settings.discovery is not None:
            changes.subscribe(self._host.follow_seeds)
        self._endpoint = self._process.listen(on_message=self._receive)
        self._ticking = task.LoopingCall(self._tick)
        self._ticking.clock = reactor

    def start(self) -> None:
        """Begin to serve.

        :raises StorageError: if the data folder can not be used.
        """
        self._host.open()
        self._ticking.start(TICK_MS / 1000, now=False)
        self._process.reactor.addSystemEventTrigger(
            'before', 'shutdown', self._prepare_stop
        )
        self._process.reactor.callLater(
            processes.METRICS_DELAY_S, self._publish
        )
        self._found_if_first()
        LOG.info(
            'control host is listening',
            extra={'address': self._endpoint.address},
        )

    def _serve(self, log: api.ReplicatedLog, machine) -> None:
        """Serve with a replica, in place of the former one."""
        self._replica = log
        self._server = servers.ControlServer(
            log=log,
            machine=machine,
            settings=self._settings,
            clock=self._process.clock,
            wall_clock=clock.WallClock(),
            send=self._answer,
            incarnation=self._process.incarnation,
        )

    def _receive(self, peer: endpoint.Peer, message: object) -> None:
        self._server.receive(peer, message)

    def _tick(self) -> None:
        self._server.tick()

    def _publish(self) -> None:
        self._process.metrics.observe(
            name='replica_disk_full',
            read=lambda: int(self._host.is_disk_full),
        )
        quorum_metrics.publish(
            metrics=self._process.metrics,
            read=lambda: self._replica.quorum(),
        )

    def _found_if_first(self) -> None:
        """Found the cluster at a deployment's very first start.

        The first of the seeds does so, with the others as voters; hosts
        that the seeds don't name join later.
        """
        wanted = self._settings.discovery
        if wanted is None or not wanted.may_found or self._replica.has_cluster:
            return
        seed_ids = discovery.seed_ids(wanted)
        if self._process.process_id != seed_ids[0]:
            return
        founded = self._replica.found(
            cluster_id=CLUSTER_NAME, member_ids=seed_ids
        )
        founded.addCallbacks(
            lambda cluster_id: LOG.info(
                'cluster founded', extra={'cluster_id': cluster_id}
            ),
            self._found_again,
        )

    def _found_again(self, failure) -> None:
        LOG.warning(
            'the cluster was not founded; trying again',
            extra={'cause': failure.getErrorMessage()},
        )
        self._process.reactor.callLater(FOUND_AGAIN_S, self._found_if_first)

    def _prepare_stop(self):
        """Pass leadership and vote on before a planned stop."""
        prepared = self._replica.transfer_leadership()
        prepared.addCallback(lambda _: self._replica.leave())
        return prepared.addErrback(
            lambda failure: LOG.warning(
                'leadership and vote were not passed on',
                extra={'cause': failure.getErrorMessage()},
            )
        )

    def _answer(self, *, route: bytes, message: object) -> bool:
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
    :param changes: tells of changed settings, of which the seeds are used.
    """
    process = processes.Process(
        reactor=reactor, settings=settings.process, folder=folder
    )
    if settings.log.data_folder:
        ControlProcess(
            settings=settings, process=process, changes=changes
        ).start()
    if settings.api.address:
        _serve_callers(settings=settings, process=process, changes=changes)
    reactor.run()


def _serve_callers(
    *,
    settings: model.ControlSettings,
    process: processes.Process,
    changes: watch.SettingsWatch | None,
) -> None:
    """Serve the HTTP API, which passes all on to the leader."""
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
            lambda changed: client.follow_seeds(
                tuple(host.process_id for host in _own_host_first(changed))
            )
        )
    api = control_api.ControlApi(
        orders=fleet.FleetOrders(client=client, operator='platform'),
        http_port=settings.api.address.rpartition(':')[2],
    )
    site = http_server.Site(
        reactor=process.reactor,
        clock=process.clock,
        handle=api.handle,
        refusal=dialect.write_refusal,
    )
    http_server.listen(
        site=site, address=settings.api.address, reactor=process.reactor
    )


def _own_host_first(settings: model.ControlSettings):
    """Return the control hosts to ask, the own one first if it votes."""
    hosts = discovery.hosts_of(settings)
    own_id = settings.process.process_id
    if not settings.log.data_folder:
        return tuple(host for host in hosts if host.process_id != own_id)
    own = model.ControlHost(
        process_id=own_id, address=settings.process.address
    )
    return (own, *(host for host in hosts if host.process_id != own_id))
