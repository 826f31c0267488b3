"""Prices a placement by its effect on the request and those in progress.

The unit of all prices is the loss by one short request that is late.
"""

from shallothinge.placement import server_queue

# A request of this many tokens has twice the weight of an empty one, as the
# caller's loss by a late answer grows with the prompt.
WEIGHT_TOKENS = 10_000
# Fraction of an objective that may be used up before lateness becomes likely.
# The rest is a margin for what the model leaves out (lag of reports, load by
# other gateways).
SAFE_SHARE = 0.6
# Fraction of its value that a late answer loses: the users' score sheets give
# a late answer a quarter of the credit, however late it is.
LATE_LOSS = 0.75
# Callers abandon a request after this multiple of its objective, as the
# protocol specifies.
ABANDON_MULTIPLE = 4.0
# Counterpart of SAFE_SHARE for the time until a caller abandons a request. As
# that time is several times longer, a smaller fraction suffices as margin.
ABANDON_SAFE_SHARE = 0.8
# A resumed stream is late already. Its caller abandons it two seconds after
# its last event, and a stall is detected after about half of that time.
RESUMED_ABANDON_MS = 1000.0
# Even within the objective, an earlier first event is worth a little more.
SPEED_PRICE = 0.05
# Pending reads are delayed by every share that arrives later. The price of a
# share therefore exceeds the one delay that it is known to cause
# (DELAYED_READ_FACTOR), and grows with the fraction of the remaining time that
# it uses up (DELAYED_READ_WAIT_PRICE).
DELAYED_READ_FACTOR = 2.0
DELAYED_READ_WAIT_PRICE = 0.3
# Lower bound of the remaining time in that fraction.
MIN_DUE_MS = 100.0
# A prompt has been read when its slowest share has. A read that delays one of
# its shares mostly delays several at once; each counts as this many shares.
SHARE_WEIGHT = 4.0


def weight_of(tokens: int) -> float:
    """Return the weight of a late answer to a prompt."""
    return 1.0 + tokens / WEIGHT_TOKENS


def share_weight(count: int) -> float:
    """Return the weight of one share of a prompt, as a fraction of the whole.

    :param count: number of servers that read the prompt.
    """
    return min(1.0, SHARE_WEIGHT / count)


def lateness(
    expected_ms: float,
    objective_ms: float,
    patience_ms: float | None = None,
) -> float:
    """Return the expected loss by missing an objective, from 0 to 1.

    A late answer loses a fixed fraction of its value, and the rest if the
    caller abandons the request.

    :param expected_ms: expected time to the first event or answer.
    :param objective_ms: time left to the objective, 0 or less if missed.
    :param patience_ms: time left until the caller abandons the request, None
        if unknown.
    """
    if objective_ms <= 0 and patience_ms is None:
        abandoned = min(1.0, expected_ms / RESUMED_ABANDON_MS)
        return LATE_LOSS + (1 - LATE_LOSS) * abandoned
    if patience_ms is None:
        patience_ms = ABANDON_MULTIPLE * objective_ms
    late = 1.0
    if objective_ms > 0:
        late = _miss_likelihood(expected_ms / objective_ms, SAFE_SHARE)
    abandoned = _miss_likelihood(
        expected_ms / max(patience_ms, 1.0), ABANDON_SAFE_SHARE
    )
    return LATE_LOSS * late + (1 - LATE_LOSS) * abandoned


def _miss_likelihood(used: float, safe_share: float) -> float:
    """Return the likelihood of missing a time limit, from 0 to 1.

    :param used: expected time as a fraction of the limit.
    :param safe_share: fraction up to which a miss is ruled out.
    """
    return min(1.0, max(0.0, (used - safe_share) / (1 - safe_share)))


def delay_price(
    expected_ms: float,
    objective_ms: float,
    patience_ms: float | None = None,
) -> float:
    """Return the price of the time to a first event for its own request.

    Of two times that are both safe, the shorter has the lower price.
    """
    used = expected_ms / max(objective_ms, 1.0)
    lost = lateness(expected_ms, objective_ms, patience_ms)
    return lost + SPEED_PRICE * min(used, 1.0)


def price_for_writers(
    load: server_queue.ServerLoad, *, read_ms: float, pass_ms: float
) -> float:
    """Return the price of one more read for the streams of a server.

    Pending reads already make the streams pause; only the additional pause
    that the new read causes is charged to it.
    """
    before_ms = load.backlog_ms + pass_ms if load.backlog_ms else 0.0
    after_ms = load.backlog_ms + read_ms + pass_ms
    # Most streams of a server have the same limit on pauses, so grouping
    # them by it saves computations.
    weights: dict[int, float] = {}
    for writer in load.writers:
        weights[writer.pause_ms] = (
            weights.get(writer.pause_ms, 0.0) + writer.weight
        )
    return sum(
        weight * (lateness(after_ms, pause_ms) - lateness(before_ms, pause_ms))
        for pause_ms, weight in weights.items()
    )


def price_for_reads(load: server_queue.ServerLoad, part_ms: float) -> float:
    """Return the price of a new share for the reads that it delays."""
    return sum(
        read.weight * _price_for_read(read, part_ms) for read in load.reads
    )


def _price_for_read(read: server_queue.PendingRead, part_ms: float) -> float:
    before = lateness(read.ends_in_ms, read.due_in_ms)
    after = lateness(read.ends_in_ms + part_ms, read.due_in_ms)
    used = min(1.0, part_ms / max(read.due_in_ms, MIN_DUE_MS))
    delay = DELAYED_READ_FACTOR * (after - before)
    return delay + DELAYED_READ_WAIT_PRICE * used
