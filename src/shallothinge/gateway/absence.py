"""Describes why no server of a service may get a request."""

import attrs

from shallothinge.placement import choice


@attrs.frozen(kw_only=True)
class Absence:
    """The listed servers of a service, counted by what keeps work from them.

    ``out_count`` are those out of service with their zone or by themselves,
    ``first_pause_ms`` the time until the first pause ends, None if none of
    the servers in service pauses.
    """

    listed_count: int = 0
    leaving_count: int = 0
    out_count: int = 0
    paused_count: int = 0
    first_pause_ms: int | None = None

    @property
    def detail(self) -> str:
        """Return a description for callers and the log."""
        counts = (
            (self.leaving_count, 'leaving'),
            (self.out_count, 'out of service'),
            (self.paused_count, 'pausing'),
        )
        listed = f'servers listed: {self.listed_count}'
        others = [f'{count} {name}' for count, name in counts if count]
        return ', '.join((listed, *others))

    def return_in_ms(self, *, is_list_settled: bool) -> int | None:
        """Return when a server may get work again, None if nothing is known.

        Servers announce themselves to a new leader with their next heartbeat.
        Those that are out of service still send heartbeats, and get work once
        the operator returns them, which may be at any time.

        :param is_list_settled: whether the leader has heard of all servers.
        """
        if self.first_pause_ms is not None:
            return self.first_pause_ms
        if self.out_count or not is_list_settled:
            return choice.NEXT_HEARTBEAT_MS
        return None
