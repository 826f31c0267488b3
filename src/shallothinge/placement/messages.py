"""What gateways tell each other about the work that they have under way.

These are the most frequent messages between processes, so that works are
plain tuples: field names would be most of their bytes.
"""

import attrs

# Order of the numbers of a work in a report.
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
    """Changes of a gateway's work since its last report, or all of it.

    :ivar sequence: counts the reports; a reader that misses one waits for
        the next ``complete`` one.
    :ivar started: works in the order of ``WORK_FIELDS``: how long the
        server reads its part of the prompt, how long ago that was sent, in
        how long its first event is due, the longest allowed pause between
        events (0 if there are none), what a late answer weighs in percent,
        the tokens that it holds in the server's memory, and three flags.
    :ivar writing: ids of works whose first event has arrived.
    :ivar ended: ids of works that have ended.
    :ivar failed: ids of backend servers that could not be reached or broke
        off, so that others try elsewhere first.
    :ivar leaving: id and incarnation of backend servers that have said in
        an answer that they leave.
    """

    sequence: int
    complete: bool = False
    started: tuple[tuple, ...] = ()
    writing: tuple[int, ...] = ()
    ended: tuple[int, ...] = ()
    failed: tuple[str, ...] = ()
    leaving: tuple[tuple[str, str], ...] = ()


MESSAGES = (LoadReported,)
