"""Starts and stops an agent."""

import pathlib

from shallothinge import process as processes
from shallothinge.agent import service as services
from shallothinge.settings import model
from shallothinge.settings import watch


def start(
    *, settings: model.AgentSettings, folder: pathlib.Path, reactor
) -> services.AgentService:
    """Start an agent.

    When the reactor is told to stop, it first waits until what runs has
    finished. Telling it again changes nothing.

    :param folder: folder of the settings file, for relative paths.
    :param changes: tells of changed settings; none is used before a restart.
    """
    process = processes.Process(
        reactor=reactor, settings=settings.process, folder=folder
    )
    service = services.AgentService(settings=settings, process=process)
    service.start()
    reactor.addSystemEventTrigger('before', 'shutdown', service.stop)
    reactor.addSystemEventTrigger('during', 'shutdown', service.close)
    reactor.addSystemEventTrigger('after', 'shutdown', process.close)
    return service


def run(
    *,
    settings: model.AgentSettings,
    folder: pathlib.Path,
    reactor,
    changes: watch.SettingsWatch | None = None,
) -> None:
    """Run an agent until SIGTERM, then finish what runs."""
    start(settings=settings, folder=folder, reactor=reactor)
    reactor.run()
