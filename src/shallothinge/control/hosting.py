"""Runs the replica of this host and reopens it after its disk was full."""

from collections.abc import Callable
import logging
import pathlib
import random

import attrs

from shallothinge import clock as clocks
from shallothinge.control import api
from shallothinge.control import machine as machines
from shallothinge.control import replica as replicas
from shallothinge.control import unavailable_replica
from shallothinge.settings import model
from shallothinge.storage import errors

LOG = logging.getLogger(__name__)

# Interval between attempts to reopen the replica while the disk is full.
REOPEN_INTERVAL_MS = 1000


class ReplicaSupervisor:
    """Opens the replica, and reopens it after its disk was full.

    Data that a full disk did not accept was never made known to others, so
    the replica can continue from the data on the disk. It stops as if the
    process had ended, and is opened again at intervals until that succeeds;
    an attempt succeeds only if the disk takes what a message may append. Any
    other disk failure ends the process.

    :param make_machine: returns an empty state machine.
    :param on_replaced: called with the new replica, or with its stand-in
        while the disk is full, and its state machine.
    :param on_failure: called with a failure other than a full disk.
    """

    def __init__(
        self,
        *,
        process,
        settings: model.ControlSettings,
        make_machine: Callable[[], machines.StateMachine],
        on_replaced: Callable[[api.ReplicatedLog, object], None],
        on_failure: Callable[[Exception], None] = replicas.end_process,
        rng: random.Random | None = None,
    ):
        self._process = process
        self._settings = settings
        self._make_machine = make_machine
        self._on_replaced = on_replaced
        self._on_failure = on_failure
        self._rng = rng
        self._replica: replicas.Replica | None = None
        self._reopen_call = None
        self._full_since_ms: int | None = None

    @property
    def is_disk_full(self) -> bool:
        """Return whether the replica is stopped because its disk is full."""
        return self._full_since_ms is not None

    def open(self) -> None:
        """Open the replica, or schedule another attempt if the disk is full.

        :raises StorageError: if the data folder cannot be used.
        """
        machine = self._make_machine()
        try:
            replica = replicas.Replica(
                process=self._process,
                settings=self._settings,
                machine=machine,
                on_failure=self._on_replica_failure,
                rng=self._rng,
            )
        except errors.DiskFull as error:
            self._reopen_later(error)
            return
        if self._full_since_ms is not None:
            LOG.info(
                'disk space is available again; replica reopened',
                extra={'after_ms': self._now_ms() - self._full_since_ms},
            )
            self._full_since_ms = None
        self._replica = replica
        self._on_replaced(replica, machine)
        replica.start()

    def update_seeds(self, settings: model.ControlSettings) -> None:
        """Use the discovery seeds of new settings, also for later replicas."""
        self._settings = attrs.evolve(
            self._settings, discovery=settings.discovery
        )
        if self._replica is not None:
            self._replica.update_seeds(self._settings)

    def close(self) -> None:
        """Cancel the scheduled attempt to open the replica."""
        if self._reopen_call is not None and self._reopen_call.active():
            self._reopen_call.cancel()

    def _on_replica_failure(self, error: Exception) -> None:
        if isinstance(error, errors.DiskFull):
            self._reopen_later(error)
        else:
            self._on_failure(error)

    def _reopen_later(self, error: errors.DiskFull) -> None:
        if self._full_since_ms is None:
            self._full_since_ms = self._now_ms()
            LOG.error(
                'disk is full; replica stopped until space is available',
                extra={
                    'data_folder': str(
                        pathlib.Path(self._settings.log.data_folder)
                    ),
                    'cause': str(error),
                },
            )
            self._on_replaced(
                unavailable_replica.UnavailableReplica(), self._make_machine()
            )
        self._reopen_call = self._process.reactor.callLater(
            REOPEN_INTERVAL_MS / clocks.MS_PER_SECOND, self._reopen
        )

    def _reopen(self) -> None:
        try:
            self.open()
        except errors.StorageError as error:
            self._on_failure(error)

    def _now_ms(self) -> int:
        return self._process.clock.now_ms()
