"""What a placement costs the request and those that are under way.

Prices are in units of one short request that comes late.
"""

from shallothinge.placement import fleet

# A request of this many tokens weighs twice as much as an empty one: what
# its caller loses by a late answer grows with the prompt.
WEIGHT_TOKENS = 10_000
# Part of an objective that may pass before lateness becomes likely; the rest
# is for what is not modelled (lag of reports, load of other gateways).
SAFE_SHARE = 0.6
# What a late answer loses of its value: the users' sheets give a late answer
# a quarter of the credit, however late it is.
LATE_LOSS = 0.75
# Callers leave after this multiple of the objective, says the protocol.
LEAVE_MULTIPLE = 4.0
# The same safety for that, in a time that is some times longer.
LEAVE_SAFE_SHARE = 0.8
# A stream that is resumed is late already; its caller leaves two seconds after
# its last event, and a stall is noticed about half way.
LEAVE_MS = 1000.0
# A first event is worth a little more the sooner it comes.
SPEED_PRICE = 0.05
# Reads wait for all shares of prompts that come later: a share costs them
# more than the one delay that can be foreseen, and something for each part of
# the time that they have left.
DELAYED_READ_FACTOR = 2.0
DELAYED_READ_WAIT_PRICE = 0.3
LEAST_DUE_MS = 100.0
# A prompt is read once the slowest of its shares is. A read that delays some
# of them mostly delays several at once; each counts for this many shares.
SHARE_WEIGHT = 4.0


def weight_of(tokens: int) -> float:
    """Return how much a late answer to a prompt weighs."""
    return 1.0 + tokens / WEIGHT_TOKENS


def share_weight(count: int) -> float:
    """Return how much one of a prompt's shares weighs against all of it.

    :param count: on how many servers the prompt is read.
    """
    return min(1.0, SHARE_WEIGHT / count)


def lateness(
    expected_ms: float,
    objective_ms: float,
    patience_ms: float | None = None,
) -> float:
    """Return what is likely lost by missing an objective, 0 to 1.

    A late answer loses a fixed part of its value, and the rest when its
    caller leaves.

    :param objective_ms: what is left of it, 0 or less if it is missed.
    :param patience_ms: when the caller leaves, None if it is not known.
    """
    if objective_ms <= 0 and patience_ms is None:
        leaves = min(1.0, expected_ms / LEAVE_MS)
        return LATE_LOSS + (1 - LATE_LOSS) * leaves
    if patience_ms is None:
        patience_ms = LEAVE_MULTIPLE * objective_ms
    late = 1.0
    if objective_ms > 0:
        late = _likelihood(expected_ms / objective_ms, SAFE_SHARE)
    leaves = _likelihood(expected_ms / max(patience_ms, 1.0), LEAVE_SAFE_SHARE)
    return LATE_LOSS * late + (1 - LATE_LOSS) * leaves


def _likelihood(used: float, safe_share: float) -> float:
    """Return how likely a bound is missed of which a share is used."""
    return min(1.0, max(0.0, (used - safe_share) / (1 - safe_share)))


def delay_price(
    expected_ms: float,
    objective_ms: float,
    patience_ms: float | None = None,
) -> float:
    """Return what a first event's time costs its own request.

    Of two times that are both safe the sooner is better.
    """
    used = expected_ms / max(objective_ms, 1.0)
    lost = lateness(expected_ms, objective_ms, patience_ms)
    return lost + SPEED_PRICE * min(used, 1.0)


def price_for_writers(
    load: fleet.ServerLoad, *, read_ms: float, pass_ms: float
) -> float:
    """Return what one more read costs the streams that a server writes.

    They pause for what is to be read already; only what the new read adds
    to that pause counts against it.
    """
    before_ms = load.backlog_ms + pass_ms if load.backlog_ms else 0.0
    after_ms = load.backlog_ms + read_ms + pass_ms
    # Most streams of a server may pause equally long.
    weights: dict[int, float] = {}
    for writer in load.writers:
        weights[writer.pause_ms] = (
            weights.get(writer.pause_ms, 0.0) + writer.weight
        )
    return sum(
        weight * (lateness(after_ms, pause_ms) - lateness(before_ms, pause_ms))
        for pause_ms, weight in weights.items()
    )


def price_for_reads(load: fleet.ServerLoad, part_ms: float) -> float:
    """Return what a new share costs the reads that wait behind it."""
    return sum(
        read.weight * _price_for_read(read, part_ms) for read in load.reads
    )


def _price_for_read(read: fleet.PendingRead, part_ms: float) -> float:
    before = lateness(read.ends_in_ms, read.due_in_ms)
    after = lateness(read.ends_in_ms + part_ms, read.due_in_ms)
    used = min(1.0, part_ms / max(read.due_in_ms, LEAST_DUE_MS))
    delay = DELAYED_READ_FACTOR * (after - before)
    return delay + DELAYED_READ_WAIT_PRICE * used
