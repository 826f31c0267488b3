"""Reads a running process's settings file anew when told to."""

from collections.abc import Callable
import logging
import pathlib
import signal

from shallothinge.settings import load

LOG = logging.getLogger(__name__)


class SettingsWatch:
    """Hands changed settings to those who can use them without a restart.

    A file that can't be used is logged and leaves everything as it is.
    """

    def __init__(
        self, *, path: pathlib.Path, file_type: type, folder: pathlib.Path
    ):
        self._path = path
        self._file_type = file_type
        self._folder = folder
        self._subscribers: list[Callable[[object], None]] = []

    def subscribe(self, on_change: Callable[[object], None]) -> None:
        """Call a function with the settings each time they are read anew."""
        self._subscribers.append(on_change)

    def install(self, reactor) -> None:
        """Read the file anew at each SIGHUP."""
        signal.signal(
            signal.SIGHUP,
            lambda number, frame: reactor.callFromThread(self.reload),
        )

    def reload(self) -> None:
        """Read the file and tell the subscribers."""
        try:
            settings = load.read(
                path=self._path,
                file_type=self._file_type,
                folder=self._folder,
            )
        except ExceptionGroup as group:
            LOG.error(
                'the settings file can not be used; the old settings stay',
                extra={'faults': [str(one) for one in group.exceptions]},
            )
            return
        for on_change in self._subscribers:
            on_change(settings)
        LOG.info(
            'settings reloaded; other keys than the seeds take effect at the '
            'next start',
            extra={'path': str(self._path)},
        )
