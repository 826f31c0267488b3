"""Control hosts whose machines lose power along with unsynced writes."""

import pathlib
import random

from shallothinge.control.tests import fleet as fleets
from shallothinge.control.tests import hosts
from shallothinge.storage import data_folder
from shallothinge.storage.tests import volatile_disk


class Stopped(BaseException):
    """Ends the turn of a process at a sync, before or after it is made.

    Not an ``Exception``: a process that loses power handles no errors.

    :param host_id: the host whose process was syncing.
    """

    def __init__(self, host_id: str):
        super().__init__(host_id)
        self.host_id = host_id


class PowerLossFleet(fleets.Fleet):
    """A deployment whose machines lose power and forget unsynced writes."""

    def __init__(self, *, folder: pathlib.Path, seed: int, **kwargs):
        self.rng = random.Random(seed)
        self._syncs_left = None
        self._is_done = False
        self._only_host = ''
        self._starting = ''
        self._wiped_ms = {}
        self.disk = volatile_disk.VolatileDisk(
            rng=self.rng, on_sync=self._on_sync
        )
        super().__init__(
            folder=folder, seed=seed, sync=self.disk.sync, **kwargs
        )

    def close(self):
        """Stop all hosts."""
        self._syncs_left = None
        super().close()
        self.disk.close()

    def run_to_sync(self, *, skipped=0, only='', limit_ms=1000):
        """Run until a process is just before or just after a sync.

        :param skipped: number of syncs that are made before.
        :param only: the host whose syncs count; by default all do.
        :returns: the host that was syncing, or '' if none was in time.
        """
        self._syncs_left = skipped
        self._is_done = self.rng.random() < 0.5
        self._only_host = only
        try:
            self.run(limit_ms)
        except Stopped as stopped:
            return stopped.host_id
        finally:
            self._syncs_left = None
        return ''

    def run_to_acknowledgement(self, *, limit_ms=1000):
        """Run until a command is acknowledged, or for the time limit."""
        count = len(self.history.acknowledged)
        ends_ms = self.now_ms + limit_ms
        while len(self.history.acknowledged) == count:
            if self.now_ms >= ends_ms:
                return
            self.run(hosts.STEP_MS)

    def wipe(self, host_id, *, back_ms):
        """Lose a host's disk; it restarts with an empty one."""
        self._wiped_ms[host_id] = self.now_ms
        self.kill(host_id, back_ms=back_ms)
        self.disk.lose(self.folder / host_id)

    def lose_power(self, host_id, *, back_ms):
        """Let one machine lose power."""
        self.kill(host_id, back_ms=back_ms)
        self.disk.lose_power(self.folder / host_id)

    def lose_all_power(self, *wiped, back_ms):
        """Let all machines lose power, and some of them their disks.

        :param back_ms: called for each host, returns when it starts again.
        """
        self._trace_event('all lose power')
        self._beyond_tolerance_ms = self.now_ms
        for host_id in list(self.hosts):
            if host_id in wiped:
                self.wipe(host_id, back_ms=back_ms())
            else:
                self.lose_power(host_id, back_ms=back_ms())

    def oldest_first(self):
        """Return the host ids, those first whose disk has lasted longest."""
        return sorted(self.hosts, key=lambda one: self._wiped_ms.get(one, 0))

    def spare_disks(self):
        """Return how many disks may be lost now.

        A host that is leaving does not come back with its disk.
        """
        lost = {
            one.host_id
            for one in self.hosts.values()
            if one.leaving
            or self._lacks_predecessor(one.host_id)
            or (one.host_id in self._wiped_ms and self._is_refilling(one))
        }
        lost.update(
            host_id
            for host_id, caught_up_ms in self.removed.items()
            if caught_up_ms is None or self.now_ms < caught_up_ms
        )
        return max(0, self.tolerance - len(lost))

    def kill(self, host_id, *, back_ms, wiped=False):
        """Kill a process, also one that was stopped while it started."""
        super().kill(host_id, back_ms=back_ms, wiped=wiped)
        # The lock of a process that ends is released.
        (self.folder / host_id / data_folder.LOCK_NAME).unlink(missing_ok=True)

    def _start(self, host_id):
        self._starting = host_id
        super()._start(host_id)
        self._starting = ''

    def _stop_process(self, host_id):
        if self.hosts[host_id].runs and host_id not in self.network.replicas:
            self.network.replica_hosts.pop(host_id).close()
            self.network.reactors.pop(host_id)
            self.hosts[host_id].runs = False
        super()._stop_process(host_id)

    def _is_refilling(self, host):
        return host.is_away or self.now_ms < host.caught_up_ms

    def _on_sync(self, path, is_done):
        if self._syncs_left is None or is_done is not self._is_done:
            return
        parts = path.relative_to(self.folder).parts
        host_id = parts[0] if parts else self._starting
        if not host_id or self._only_host not in ('', host_id):
            return
        if self._syncs_left:
            self._syncs_left -= 1
            return
        self._syncs_left = None
        raise Stopped(host_id)
