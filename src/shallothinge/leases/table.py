"""Control's side of leases: who may still act under which configuration.

Soft state of one leadership. Times are read from the leader's monotonic
clock. For the holder, a lease starts when it sends the request; for the
leader, it starts later, when it answers. The leader therefore never
considers a lease ended that is still valid for its holder.
"""

import attrs

from shallothinge import clock
from shallothinge.leases import messages

UNKNOWN_HOLDERS = '(holders of leases from the previous leader)'


@attrs.define(kw_only=True)
class Lease:
    """The version that a holder confirmed, and the end of its grants."""

    confirmed_version: int = 0
    ends_ms_by_version: dict[int, int] = attrs.field(factory=dict)

    def ends_ms(self) -> int:
        """Return when the last grant ends."""
        return max(self.ends_ms_by_version.values(), default=0)


class LeaseTable:
    """The leases that one leader has granted, by holder.

    :param duration_ms: length of a lease.
    :param elected_ms: when this leader was elected. For ``duration_ms``
        after that, any holder may still act under a lease of an earlier
        leader.
    """

    def __init__(
        self, *, clock: clock.Clock, duration_ms: int, elected_ms: int
    ):
        self._clock = clock
        self._duration_ms = duration_ms
        self._settled_ms = elected_ms + duration_ms
        self._leases: dict[messages.Holder, Lease] = {}

    @property
    def is_settled(self) -> bool:
        """Return whether all leases of earlier leaders have expired."""
        return self._clock.now_ms() >= self._settled_ms

    def grant(
        self, *, request: messages.LeaseRequest, config_version: int
    ) -> int:
        """Record a grant that is about to be sent.

        :param config_version: version of the configuration in force, which
            the grant carries or the holder has.
        :returns: the duration to grant, in milliseconds.
        """
        holder = holder_of(request)
        lease = self._leases.setdefault(holder, Lease())
        lease.confirmed_version = max(
            lease.confirmed_version, request.config_version
        )
        ends_ms = self._clock.now_ms() + self._duration_ms
        lease.ends_ms_by_version[config_version] = ends_ms
        return self._duration_ms

    def may_act(self, holder: messages.Holder) -> bool:
        """Return whether the holder's lease may still be valid."""
        if not self.is_settled:
            return True
        lease = self._leases.get(holder)
        return lease is not None and lease.ends_ms() > self._clock.now_ms()

    def predecessor_may_act(self, request: messages.LeaseRequest) -> bool:
        """Return whether another incarnation of the holder may still act.

        Does not cover leases of earlier leaders.
        """
        now_ms = self._clock.now_ms()
        return any(
            lease.ends_ms() > now_ms
            for holder, lease in self._leases.items()
            if holder.holder_id == request.holder_id
            and holder.incarnation != request.incarnation
        )

    def waiting_for(self, *, version: int) -> tuple[str, ...]:
        """Return the holders that may still act under an older configuration.

        :returns: ids of holders; empty once the version is in force.
        """
        now_ms = self._clock.now_ms()
        waiting = []
        if not self.is_settled:
            waiting.append(UNKNOWN_HOLDERS)
        for holder, lease in self._leases.items():
            if lease.confirmed_version >= version:
                continue
            if any(
                ends_ms > now_ms
                for granted_version, ends_ms in (
                    lease.ends_ms_by_version.items()
                )
                if granted_version < version
            ):
                waiting.append(holder.holder_id)
        return tuple(waiting)

    def remove_expired(self) -> None:
        """Remove expired grants, and holders that have no other."""
        now_ms = self._clock.now_ms()
        for holder, lease in list(self._leases.items()):
            for version, ends_ms in list(lease.ends_ms_by_version.items()):
                if ends_ms <= now_ms:
                    del lease.ends_ms_by_version[version]
            if not lease.ends_ms_by_version:
                del self._leases[holder]

    def holders(self) -> tuple[messages.Holder, ...]:
        """Return the holders that have a lease in this table."""
        return tuple(self._leases)


def holder_of(request: messages.LeaseRequest) -> messages.Holder:
    """Return the holder that sent a request."""
    return messages.Holder(
        holder_id=request.holder_id, incarnation=request.incarnation
    )
