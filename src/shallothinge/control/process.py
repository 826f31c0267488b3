"""The control process: sockets, replica and timers around the server."""

import logging
import pathlib

from twisted.internet import task

from shallothinge import clock
from shallothinge import process as processes
from shallothinge.control import replica as replicas
from shallothinge.control import server as servers
from shallothinge.control import state
from shallothinge.settings import model

LOG = logging.getLogger(__name__)

TICK_MS = 250


class ControlProcess:
    """One control host."""

    def __init__(
        self, *, settings: model.ControlSettings, folder: pathlib.Path, reactor
    ):
        self._process = processes.Process(
            reactor=reactor, settings=settings.process, folder=folder
        )
        machine = state.ControlState()
        self._replica = replicas.Replica(
            process=self._process, settings=settings, machine=machine
        )
        self._server = servers.ControlServer(
            log=self._replica,
            machine=machine,
            settings=settings,
            clock=self._process.clock,
            wall_clock=clock.WallClock(),
            send=self._answer,
            incarnation=self._process.incarnation,
        )
        self._endpoint = self._process.listen(on_message=self._server.receive)
        self._ticking = task.LoopingCall(self._server.tick)
        self._ticking.clock = reactor

    def start(self) -> None:
        """Begin to serve."""
        self._replica.start()
        self._ticking.start(TICK_MS / 1000, now=False)
        self._process.reactor.addSystemEventTrigger(
            'before', 'shutdown', self._hand_over
        )
        LOG.info(
            'control host is listening',
            extra={'address': self._endpoint.address},
        )

    def _hand_over(self):
        """Pass leadership on before a planned stop."""
        if not self._replica.is_leader:
            return None
        handed = self._replica.transfer_leadership()
        return handed.addErrback(
            lambda failure: LOG.warning(
                'leadership was not handed over',
                extra={'cause': failure.getErrorMessage()},
            )
        )

    def _answer(self, *, route: bytes, message: object) -> bool:
        return self._endpoint.send(route=route, message=message)


def run(
    *, settings: model.ControlSettings, folder: pathlib.Path, reactor
) -> None:
    """Run a control host until the reactor stops.

    :param folder: folder of the settings file, for relative paths.
    """
    ControlProcess(settings=settings, folder=folder, reactor=reactor).start()
    reactor.run()
