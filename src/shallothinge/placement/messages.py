"""Messages by which gateways report their requests in progress to each other.

These are the most frequent messages between processes. Works are therefore
plain tuples: field names would make up most of the bytes.
"""

import attrs

# Order of the fields of a work in a report.
WORK_FIELDS = (
    'work_id',
    'server_id',
    'read_ms',
    'age_ms',
    'due_ms',
    'pause_ms',
    'weight_percent',
    'memory_tokens',
    'is_helping',
    'is_divided',
    'is_writing',
)


@attrs.frozen(kw_only=True)
class LoadReported:
    """Changes of a gateway's work since its last report, or all of its work.

    :ivar sequence: number of the report. A receiver that has missed a report
        waits for the next ``complete`` one.
    :ivar complete: whether ``started`` lists all work, not only changes.
    :ivar started: works, each with its fields in the order of
        ``WORK_FIELDS``: ids of the work and its server, time that the server
        takes to read its part of the prompt, time since that was sent, time
        until the first event is due, longest allowed pause between events (0
        if there are no events), all in ms; weight of a late answer in
        percent, tokens held in the server's memory, and three flags.
    :ivar writing: ids of works whose first event has arrived.
    :ivar ended: ids of works that have ended.
    :ivar failed: ids of backend servers that were unreachable or broke off a
        request, so that other gateways try other servers first.
    :ivar leaving: id and incarnation of each backend server that has announced
        in an answer that it is leaving the fleet.
    """

    sequence: int
    complete: bool = False
    started: tuple[tuple, ...] = ()
    writing: tuple[int, ...] = ()
    ended: tuple[int, ...] = ()
    failed: tuple[str, ...] = ()
    leaving: tuple[tuple[str, str], ...] = ()


MESSAGES = (LoadReported,)
