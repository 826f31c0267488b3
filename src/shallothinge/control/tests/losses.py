"""Which control hosts count as lost, and which others may be lost too.

The rules are the specified tolerance, independent of the implementation. A
host counts as lost while it is down, frozen or cut off. It also counts as
lost during the catch-up time after its return or, if it is new, after its
start. A replaced host does not count if its successor is there. A host that
stopped without notice although its successor is there counts for the
catch-up time.

Instead of single hosts a whole zone may be lost, together with a new host
there that has not caught up yet.
"""

import attrs


@attrs.define(kw_only=True)
class Host:
    """A control host; it counts as lost until ``caught_up_ms``."""

    host_id: str
    zone: int = 0
    caught_up_ms: int = 0
    runs: bool = False
    frozen: bool = False
    cut: bool = False
    leaving: bool = False
    killed: bool = False
    is_new: bool = True
    is_added: bool = False
    replaces: str = ''
    starts: int = 0

    @property
    def is_away(self):
        """Return whether the host is down, frozen or cut off."""
        return not self.runs or self.frozen or self.cut


class Losses:
    """The hosts of a deployment and how many may be lost at once.

    :param planned_count: number of hosts, not counting replacements.
    """

    def __init__(self, *, tolerance, planned_count):
        self.tolerance = tolerance
        self.planned_count = planned_count
        self.hosts = {}
        self.removed = {}
        self.removed_zones = {}

    def lost(self):
        """Return the ids of the hosts that count as lost."""
        lost = {
            host.host_id
            for host in self.hosts.values()
            if host.is_away or self.now_ms < host.caught_up_ms
        }
        return lost | {
            host_id
            for host_id, caught_up_ms in self.removed.items()
            if caught_up_ms is None or self.now_ms < caught_up_ms
        }

    def may_lose(self, *host_ids):
        """Return whether hosts may be lost in addition to the lost ones."""
        if any(self.hosts[one].leaving for one in host_ids):
            return False
        if any(self._lacks_predecessor(one) for one in host_ids):
            return False
        return len(self.lost().union(host_ids)) <= self.tolerance

    def hosts_in(self, zone):
        """Return the ids of the running hosts of a zone."""
        return [
            host.host_id
            for host in self.hosts.values()
            if host.zone == zone and host.runs
        ]

    def may_lose_zone(self, zone):
        """Return whether a zone may be lost in addition to the lost hosts."""
        ids = self.hosts_in(zone)
        if not ids or any(self.hosts[one].leaving for one in ids):
            return False
        if any(self._lacks_predecessor(one) for one in ids):
            return False
        return self.is_one_zone(self.lost().union(ids))

    def is_one_zone(self, host_ids):
        """Return whether hosts are all in one zone that may be lost.

        The other zones need more hosts than the tolerance, enough to bear
        the losses alone, and there may be at most one host more than
        planned.
        """
        if len(self.hosts) > self.planned_count + 1:
            return False
        zones = {self._zone_of(one) for one in host_ids}
        elsewhere = [
            one for one in self.hosts.values() if one.zone not in zones
        ]
        return len(zones) == 1 and len(elsewhere) > self.tolerance

    def _zone_of(self, host_id):
        if host_id in self.hosts:
            return self.hosts[host_id].zone
        return self.removed_zones[host_id]

    def may_add(self):
        """Return whether one more new host may be added."""
        return len(self.lost()) < self.tolerance

    def _lacks_predecessor(self, host_id):
        """Return whether a new host's predecessor is gone or leaving.

        If so, losing the new host too would lose both of the pair.
        """
        host = self.hosts[host_id]
        if not host.replaces or not self._is_new(host):
            return False
        former = self.hosts.get(host.replaces)
        return former is None or former.leaving

    def may_stop(self, host_id):
        """Return whether a host has a successor and may stop for good."""
        host = self.hosts.get(host_id)
        if host is None or host.is_away or host.leaving:
            return False
        return not self._is_new(host) and bool(self._successor(host))

    def _successor(self, host):
        """Return the added host that succeeds a host, or None."""
        if host.is_added:
            return host
        added = [
            one
            for one in self.hosts.values()
            if one.is_added and not one.leaving
        ]
        return max(added, key=self._is_new, default=None)

    def _name_successor(self, host_id):
        successor = self._successor(self.hosts[host_id])
        successor.is_added = False
        if successor.host_id != host_id:
            successor.replaces = host_id

    def _is_new(self, host):
        catches_up = self.now_ms < host.caught_up_ms or host.is_away
        return host.is_new and catches_up
