"""Fault injection for a deployment of control hosts, with checks."""

import functools
import random
import shutil
from unittest import mock

from shallothinge.control.tests import checked_hosts
from shallothinge.control.tests import hosts
from shallothinge.control.tests import losses
from shallothinge.storage import data_folder

# A host catches up within CATCH_UP_MS. Service returns within RECOVERY_MS
# after more hosts were unavailable than the deployment tolerates.
CATCH_UP_MS = 4000
RECOVERY_MS = 12_000
PROPOSE_MS = 100
SNAPSHOT_ENTRIES = 40
SEED_COUNT = 3
ZONE_COUNT = 3


class Fleet(losses.Losses):
    """The control hosts of a deployment, with faults to inject.

    Commands are proposed continuously. While no more hosts are lost than
    tolerated, one must be acknowledged within the time to catch up.

    :param tolerance: how many hosts may be lost at once.
    :param sync: syncs a file descriptor. By default nothing is synced, as
        written data survives the kill of a process.
    """

    def __init__(
        self,
        *,
        folder,
        founders=3,
        tolerance=1,
        seed=0,
        sync=lambda _: None,
    ):
        super().__init__(tolerance=tolerance, planned_count=founders)
        rng = random.Random(seed)
        self.folder = folder
        self.history = checked_hosts.History()
        self._fsync_patch = mock.patch.object(
            data_folder,
            'DataFolder',
            functools.partial(data_folder.DataFolder, sync=sync),
        )
        self._fsync_patch.start()
        self.trace = []
        self.network = checked_hosts.CheckedNetwork(
            history=self.history,
            rng=rng,
            folder=folder,
            host_ids=(),
            snapshot_entries=SNAPSHOT_ENTRIES,
            seeds=(),
            make_machine=lambda: checked_hosts.CheckedMachine(
                history=self.history
            ),
            losses_to_bear=tolerance,
        )
        self.reactor = self.network.reactor
        self._last_host_number = 0
        self._command_count = 0
        self._proposing = set()
        self._pending_faults = 0
        self._last_commit_ms = 0
        self._last_fault_ms = 0
        self._beyond_tolerance_ms = -RECOVERY_MS
        self._found_cluster(founders)

    @property
    def now_ms(self):
        """Return the time in milliseconds."""
        return round(self.reactor.seconds() * 1000)

    def _found_cluster(self, founders):
        for number in range(founders):
            self._register_host(zone=number % ZONE_COUNT)
        for host in self.hosts.values():
            self._set_seeds(tuple(self.hosts))
            host.runs = True
            host.is_new = False
            self.network.start(host.host_id, may_found=True)
        ids = tuple(self.hosts)
        self.network.wait(
            self.network.replicas[ids[0]].found(
                cluster_id='test', member_ids=ids[:SEED_COUNT]
            )
        )
        self.network.run_until(self.has_settled)
        self._last_commit_ms = self.now_ms

    def close(self):
        """Stop all hosts."""
        self.network.close()
        self._fsync_patch.stop()

    def wait_for_stops(self, *host_ids):
        """Wait until hosts may be lost along with all that are stopping.

        A host that is killed during a planned stop counts as an unplanned
        loss.
        """
        while True:
            stopping = {
                one.host_id for one in self.hosts.values() if one.leaving
            }
            lost = self.lost().union(stopping, host_ids)
            if not stopping or len(lost) <= self.tolerance:
                return
            self.run(hosts.STEP_MS)

    def wait_for_room(self, *host_ids):
        """Wait until hosts may be lost or, without ids, one may be added.

        :returns: False if waiting does not help or takes too long.
        """
        ends_ms = self.now_ms + 3 * RECOVERY_MS
        while self.now_ms < ends_ms:
            if not set(host_ids) <= set(self.hosts):
                return False
            if host_ids and self.may_lose(*host_ids):
                return True
            if not host_ids and self.may_add():
                return True
            if None in self.removed.values():
                return False
            self.run(hosts.STEP_MS)
        return False

    # Faults

    def wait_for_zone(self, zone):
        """Wait until a zone may be lost.

        :returns: False if waiting does not help or takes too long.
        """
        ends_ms = self.now_ms + RECOVERY_MS
        while not self.may_lose_zone(zone):
            if self.now_ms >= ends_ms or None in self.removed.values():
                return False
            self.run(hosts.STEP_MS)
        return True

    def smallest_zone(self):
        """Return the zone with the fewest hosts."""
        zones = [host.zone for host in self.hosts.values()]
        return min(range(ZONE_COUNT), key=zones.count)

    def start_new(self, *, replaces='', zone=None):
        """Start an empty host at a new address; return its id."""
        if replaces:
            zone = self._zone_of(replaces)
        elif zone is None:
            zone = self.smallest_zone()
        host_id = self._register_host(replaces=replaces, zone=zone)
        self.hosts[host_id].is_added = not replaces
        self._trace_event('new', host_id, replaces)
        self._start(host_id)
        return host_id

    def replace(self, host_id):
        """Start the successor of a host that is permanently lost."""
        self.removed[host_id] = 0
        return self.start_new(replaces=host_id)

    def stop_for_good(self, host_id):
        """Stop a host permanently and as planned; its successor is running.

        :returns: fires when its process has ended.
        """
        self._trace_event('planned permanent stop', host_id)
        self.hosts[host_id].leaving = True
        self._name_successor(host_id)
        stopped = self.network.stop_as_planned(host_id)
        return stopped.addCallback(lambda _: self._has_stopped(host_id))

    def _has_stopped(self, host_id):
        """Remove a stopped host; one killed before the end counts as lost."""
        was_killed = self.hosts[host_id].killed
        caught_up_ms = self.now_ms + CATCH_UP_MS if was_killed else 0
        self._remove(host_id, caught_up_ms)

    def lose_for_good(self, host_id, *, had_successor=False):
        """Lose a host and its disk permanently."""
        self._trace_event('permanently lost', host_id)
        self._record_fault(host_id)
        self.network.stop(host_id)
        caught_up_ms = None
        if had_successor:
            self._name_successor(host_id)
            caught_up_ms = self.now_ms + CATCH_UP_MS
        self._remove(host_id, caught_up_ms)

    def _remove(self, host_id, caught_up_ms):
        self.removed_zones[host_id] = self.hosts.pop(host_id).zone
        self.removed[host_id] = caught_up_ms
        self._trace_event('removed', host_id)

    def kill(self, host_id, *, back_ms, wiped=False):
        """Kill a process, wipe its disk if asked, and restart it later."""
        self._trace_event('disk lost' if wiped else 'killed', host_id, back_ms)
        self._record_fault(host_id)
        self.hosts[host_id].killed = True
        self._stop_process(host_id)
        if wiped:
            shutil.rmtree(self.folder / host_id, ignore_errors=True)
        self._schedule_call(back_ms, self._start, host_id)

    def kill_rest(self, *host_ids, back_ms):
        """Kill all other running processes; their disks stay."""
        for host in list(self.hosts.values()):
            if host.host_id in host_ids or host.frozen or not host.runs:
                continue
            self.kill(host.host_id, back_ms=back_ms)

    def kill_zone(self, zone, *, back_ms):
        """Kill all hosts of a zone, as a power failure does; disks stay."""
        for host_id in self.hosts_in(zone):
            self.kill(host_id, back_ms=back_ms)

    def cut_off_zone(self, zone, *, for_ms):
        """Isolate all hosts of a zone, from each other as well."""
        for host_id in self.hosts_in(zone):
            self.cut_off(host_id, for_ms=for_ms)

    def restart(self, host_id, *, back_ms):
        """Stop a host as planned and restart it with its disk."""
        self._trace_event('restarts', host_id, back_ms)
        self._record_fault(host_id)
        host = self.hosts[host_id]
        host.leaving = True
        host.caught_up_ms = self.now_ms + hosts.GRACE_MS
        stopped = self.network.stop_as_planned(host_id)
        stopped.addCallback(lambda _: self._restart(host, back_ms))
        return stopped

    def _restart(self, host, back_ms):
        if host.runs:
            host.runs = False
            self._schedule_call(back_ms, self._start, host.host_id)

    def freeze(self, host_id, *, for_ms):
        """Freeze a process for a while."""
        self._trace_event('frozen', host_id, for_ms)
        self._record_fault(host_id)
        self.hosts[host_id].frozen = True
        self.network.freeze(host_id)
        self._schedule_call(
            for_ms, self._thaw, host_id, self.hosts[host_id].starts
        )

    def _thaw(self, host_id, starts):
        host = self.hosts.get(host_id)
        if host is None or not host.frozen or host.starts != starts:
            return
        self.network.thaw(host_id)
        host.frozen = False
        self._mark_returned(host_id)

    def cut_off(self, host_id, *, for_ms):
        """Isolate a host from all others for a while."""
        self._trace_event('isolated', host_id, for_ms)
        self._record_fault(host_id)
        self.hosts[host_id].cut = True
        self.network.isolated = self.network.isolated | {host_id}
        self._schedule_call(for_ms, self._heal, host_id)

    def _heal(self, host_id):
        self.network.isolated = self.network.isolated - {host_id}
        if host_id in self.hosts and self.hosts[host_id].cut:
            self.hosts[host_id].cut = False
            self._mark_returned(host_id)

    def hand_over(self):
        """Let the leader transfer leadership, which starts an election."""
        leader_id = self.leader_id()
        if leader_id and not self.hosts[leader_id].is_away:
            self._trace_event('transfers leadership', leader_id)
            self.network.replicas[leader_id].transfer_leadership()

    def _register_host(self, *, zone, replaces=''):
        self._last_host_number += 1
        host_id = f'10.0.0.{self._last_host_number}:{hosts.PORT}'
        self.hosts[host_id] = losses.Host(
            host_id=host_id, zone=zone, replaces=replaces
        )
        return host_id

    def _choose_seeds(self):
        """Make the first available hosts of the operator's list the seeds.

        A host whose seeds are all unavailable could discover no other host.
        """
        self._set_seeds(
            sorted(self.hosts, key=lambda one: self.hosts[one].is_away)
        )

    def _set_seeds(self, host_ids):
        self.network.seeds = tuple(
            f'{one.rpartition(":")[0]}:80' for one in host_ids[:SEED_COUNT]
        )

    def _start(self, host_id):
        host = self.hosts.get(host_id)
        if host is None or host.runs:
            return
        self._choose_seeds()
        host.starts += 1
        host.runs = True
        host.leaving = False
        host.killed = False
        self.network.start(host_id)
        self._mark_returned(host_id)

    def _stop_process(self, host_id):
        host = self.hosts[host_id]
        if host.runs:
            self.network.stop(host_id)
        host.runs = False
        host.frozen = False

    def _mark_returned(self, host_id):
        self._trace_event('is back', host_id)
        self.hosts[host_id].caught_up_ms = self.now_ms + CATCH_UP_MS

    def _schedule_call(self, delay_ms, call, *args):
        self._pending_faults += 1

        def run():
            self._pending_faults -= 1
            call(*args)

        self.reactor.callLater(delay_ms / 1000, run)

    def _record_fault(self, host_id):
        host = self.hosts[host_id]
        host.is_new = self._is_new(host)
        self._last_fault_ms = self.now_ms

    def _trace_event(self, *words):
        self.trace.append(f'{self.now_ms:>7} ' + ' '.join(map(str, words)))

    # Time and checks

    def run(self, duration_ms):
        """Let time pass while proposing commands and checking liveness."""
        for _ in range(max(1, duration_ms // hosts.STEP_MS)):
            self.network.run(hosts.STEP_MS)
            if self.now_ms % PROPOSE_MS == 0:
                self._propose()
                self._check_liveness()

    def _propose(self):
        for replica in list(self.network.replicas.values()):
            if replica.is_leader and replica not in self._proposing:
                self._propose_at(replica)

    def _propose_at(self, replica):
        self._command_count += 1
        command = f'command-{self._command_count}'.encode()
        self._proposing.add(replica)
        answered = replica.propose(command)
        answered.addBoth(self._record_answer, replica, command)

    def _record_answer(self, answer, replica, command):
        self._proposing.discard(replica)
        if isinstance(answer, bytes):
            self.history.acknowledge(answer, command)
            self._last_commit_ms = self.now_ms

    def _check_liveness(self):
        if self.network.failures:
            self.fail(f'a replica failed: {self.network.failures}')
        away = {host.host_id for host in self.hosts.values() if host.is_away}
        away.update(one for one in self.removed if self.removed[one] is None)
        if len(away) > self.tolerance and not self.is_one_zone(away):
            self._beyond_tolerance_ms = self.now_ms
        if self.now_ms > self.commit_deadline_ms():
            self.fail('no command was committed in time')

    def commit_deadline_ms(self):
        """Return the time by which a command must be committed."""
        return max(
            max(self._last_commit_ms, self._last_fault_ms) + CATCH_UP_MS,
            self._beyond_tolerance_ms + RECOVERY_MS,
        )

    def check_recovery(self):
        """Wait for all faults to end and check that the hosts recover."""
        self._trace_event('all faults end')
        while self._pending_faults or self._any_stopping():
            self.run(PROPOSE_MS)
        for host_id, caught_up_ms in list(self.removed.items()):
            if caught_up_ms is None:
                self.replace(host_id)
        ends_ms = max(
            self.now_ms + CATCH_UP_MS,
            self._beyond_tolerance_ms + RECOVERY_MS,
        )
        while not self.has_settled():
            if self.now_ms > ends_ms:
                self.fail(self.unsettled_reason())
            self.run(hosts.STEP_MS)
        self._trace_event('settled')
        count = len(self.history.acknowledged)
        while len(self.history.acknowledged) == count:
            self.run(PROPOSE_MS)
        self.run(PROPOSE_MS)
        self._check_nothing_lost()

    def _check_nothing_lost(self):
        for host_id, machine in self.network.machines.items():
            if host_id not in self.hosts:
                continue
            for position, command in self.history.acknowledged.items():
                if position >= len(machine.commands):
                    continue
                if machine.commands[position] != command:
                    self.fail(f'{host_id} lost the acknowledged {command}')
        newest = max(self.history.acknowledged)
        leader = self.network.machines[self.leader_id()]
        if len(leader.commands) <= newest:
            self.fail('the leader is missing acknowledged commands')

    def _any_stopping(self):
        return any(host.leaving for host in self.hosts.values())

    def leader_id(self):
        """Return the host that leads in the newest term, or ''."""
        found, newest = '', -1
        for host_id, replica in self.network.replicas.items():
            if replica.is_leader and replica.dump().term > newest:
                found, newest = host_id, replica.dump().term
        return found

    def has_settled(self):
        """Return whether the members are exactly the running hosts.

        With an even number of hosts, one is a standby without a vote.
        """
        return not self.unsettled_reason()

    def unsettled_reason(self):
        """Return why the hosts have not settled, or '' if they have."""
        leader_id = self.leader_id()
        if not leader_id:
            return 'no host leads'
        running = {
            replica.dump().replica_id
            for replica in self.network.replicas.values()
        }
        shown = self.network.replicas[leader_id].dump()
        voters = set(shown.voters)
        if not voters <= running:
            return 'a replica that does not run is still a voter'
        if not set(shown.learners) <= running:
            return 'a replica that does not run is still a learner'
        if not running <= voters.union(shown.learners):
            return 'a running host is not a member'
        if len(voters) < len(running) - (len(running) + 1) % 2:
            return 'too few of the running hosts are voters'
        return ''

    def fail(self, text):
        """Fail with the trace of events and the state of each replica."""
        lines = [f'{text}, at {self.now_ms} ms:', *self.trace]
        for host_id, replica in self.network.replicas.items():
            shown = replica.dump()
            lines.append(
                f'{host_id} {shown.replica_id} {shown.role}'
                f' term={shown.term} voters={shown.voters}'
                f' learners={shown.learners} last={shown.last_index}'
                f' commit={shown.commit_index}'
            )
        raise AssertionError('\n'.join(lines))
