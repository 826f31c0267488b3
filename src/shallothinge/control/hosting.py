"""Keeps a replica on this host, also through a full disk."""

from collections.abc import Callable
import logging
import pathlib
import random

import attrs

from shallothinge import clock as clocks
from shallothinge.control import absent
from shallothinge.control import api
from shallothinge.control import machine as machines
from shallothinge.control import replica as replicas
from shallothinge.settings import model
from shallothinge.storage import errors

LOG = logging.getLogger(__name__)

# How often it is tried to open the replica again while the disk is full.
TRY_AGAIN_MS = 1000


class ReplicaHost:
    """Opens the replica, and again after its disk was full.

    What a full disk did not take is known to no one, so the replica goes on
    from what the disk holds: it ends as if the process had, and is opened
    again, which writes the whole log anew, once that succeeds. Any other
    failure of the disk ends the process.

    :param make_machine: makes an empty state machine.
    :param on_replaced: called with the new replica, or what stands for it,
        and its state machine.
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
        self._trying = None
        self._full_since_ms: int | None = None

    @property
    def is_disk_full(self) -> bool:
        """Return whether there is no replica, for want of room."""
        return self._full_since_ms is not None

    def open(self) -> None:
        """Open the replica, or try again later.

        :raises StorageError: if the data folder can not be used.
        """
        machine = self._make_machine()
        try:
            replica = replicas.Replica(
                process=self._process,
                settings=self._settings,
                machine=machine,
                on_failure=self._failed,
                rng=self._rng,
            )
        except errors.DiskFull as error:
            self._wait_for_room(error)
            return
        if self._full_since_ms is not None:
            LOG.info(
                'the disk has room again; the replica takes part',
                extra={'after_ms': self._now_ms() - self._full_since_ms},
            )
            self._full_since_ms = None
        self._replica = replica
        self._on_replaced(replica, machine)
        replica.start()

    def follow_seeds(self, settings: model.ControlSettings) -> None:
        """Use the seeds of changed settings, also for later replicas."""
        self._settings = attrs.evolve(
            self._settings, discovery=settings.discovery
        )
        if self._replica is not None:
            self._replica.follow_seeds(self._settings)

    def close(self) -> None:
        """Open nothing any more."""
        if self._trying is not None and self._trying.active():
            self._trying.cancel()

    def _failed(self, error: Exception) -> None:
        if isinstance(error, errors.DiskFull):
            self._wait_for_room(error)
        else:
            self._on_failure(error)

    def _wait_for_room(self, error: errors.DiskFull) -> None:
        if self._full_since_ms is None:
            self._full_since_ms = self._now_ms()
            LOG.error(
                'the disk is full; the replica takes part no more',
                extra={
                    'data_folder': str(
                        pathlib.Path(self._settings.log.data_folder)
                    ),
                    'cause': str(error),
                },
            )
            self._on_replaced(absent.AbsentReplica(), self._make_machine())
        self._trying = self._process.reactor.callLater(
            TRY_AGAIN_MS / clocks.MS_PER_SECOND, self._open_again
        )

    def _open_again(self) -> None:
        try:
            self.open()
        except errors.StorageError as error:
            self._on_failure(error)

    def _now_ms(self) -> int:
        return self._process.clock.now_ms()
