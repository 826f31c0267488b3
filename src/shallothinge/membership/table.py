"""The leader's list of backend servers that announce themselves.

Soft state: a new leader starts with an empty list and fills it from the next
lease requests. Readers send their version and get the changes since.
"""

import attrs

from shallothinge import clock
from shallothinge.membership.model import BackendServer
from shallothinge.membership.model import MembershipUpdate

MAX_LEFT_ENTRIES = 1000


@attrs.frozen(kw_only=True)
class Member:
    """A backend server with the version of its last change."""

    server: BackendServer
    version: int
    heard_ms: int


class MemberTable:
    """Backend servers by id, with the version of each change.

    :param epoch: identifies this table; versions are comparable only within
        an epoch.
    :param silence_ms: silence after which a backend server is removed.
    """

    def __init__(self, *, clock: clock.Clock, epoch: str, silence_ms: int):
        self._clock = clock
        self._silence_ms = silence_ms
        self.epoch = epoch
        self._version = 0
        self._members: dict[str, Member] = {}
        self._left: dict[str, int] = {}
        self._forgotten_version = 0

    @property
    def version(self) -> int:
        """Return the version of the last change."""
        return self._version

    def withdraw(self, *, server_id: str) -> None:
        """Remove a backend server that has announced that it has left.

        The removal is recorded even for an unknown server, since readers may
        know it from another leader.
        """
        self._members.pop(server_id, None)
        self._record_left(server_id)

    def announce(self, *, server: BackendServer) -> None:
        """Add or update a backend server that announces itself."""
        known = self._members.get(server.server_id)
        version = self._version
        if known is None or known.server != server:
            self._version += 1
            version = self._version
            self._left.pop(server.server_id, None)
        else:
            version = known.version
        self._members[server.server_id] = Member(
            server=server, version=version, heard_ms=self._clock.now_ms()
        )

    def drop_silent(self) -> None:
        """Remove backend servers that were silent for ``silence_ms``."""
        oldest_ms = self._clock.now_ms() - self._silence_ms
        for server_id, member in list(self._members.items()):
            if member.heard_ms < oldest_ms:
                del self._members[server_id]
                self._record_left(server_id)

    def update_since(self, *, version: int, epoch: str) -> MembershipUpdate:
        """Return the changes since a reader's version.

        The update is a complete list if the version is of another epoch or
        older than the removals that are kept.
        """
        if epoch != self.epoch or version < self._forgotten_version:
            return MembershipUpdate(
                version=self._version, complete=True, joined=self.servers()
            )
        joined = [
            member.server
            for member in self._members.values()
            if member.version > version
        ]
        left = [
            server_id
            for server_id, left_version in self._left.items()
            if left_version > version
        ]
        return MembershipUpdate(
            version=self._version,
            complete=False,
            joined=tuple(joined),
            left=tuple(left),
        )

    def preliminary_update(self) -> MembershipUpdate:
        """Return a preliminary update for readers of another leader's list."""
        return MembershipUpdate(
            version=self._version,
            complete=False,
            preliminary=True,
            joined=self.servers(),
            left=tuple(self._left),
        )

    def servers(self) -> tuple[BackendServer, ...]:
        """Return all backend servers."""
        return tuple(member.server for member in self._members.values())

    def _record_left(self, server_id: str) -> None:
        self._version += 1
        self._left[server_id] = self._version
        if len(self._left) > MAX_LEFT_ENTRIES:
            oldest_id = next(iter(self._left))
            self._forgotten_version = self._left.pop(oldest_id)
