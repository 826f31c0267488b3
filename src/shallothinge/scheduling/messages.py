"""Messages by which gateways share what waits for capacity."""

import attrs

# Limits of a report. The first entries of each gateway decide who is next;
# more are unlikely to be placed before the next report.
MAX_ENTRIES_PER_SERVICE = 8
MAX_SERVICES = 64
MAX_WORKSPACES = 64


@attrs.frozen(kw_only=True)
class DemandReported:
    """The requests that wait at a gateway, and the slots in use.

    A report replaces the sender's earlier ones. Times are in ms, relative to
    the time of sending, as clocks of hosts differ.

    :ivar sequence: increases with each report of one run of a gateway.
    :ivar waiting: the first waiting requests of each service: service,
        urgency, whether the workspace is above its share, time until the
        request must be sent to be answered in time (negative if it has
        passed), time until its caller abandons it, number of the request,
        the same in all reports.
    :ivar in_use: workspaces that use or wait for slots at the sender: service,
        workspace, number of slots in use, whether any request waits.
    :ivar granted: waiting requests that the sender has placed since it
        started: service, their number, and how many of them had a late turn.
    """

    sequence: int
    waiting: tuple[tuple, ...] = ()
    in_use: tuple[tuple, ...] = ()
    granted: tuple[tuple, ...] = ()


MESSAGES = (DemandReported,)
