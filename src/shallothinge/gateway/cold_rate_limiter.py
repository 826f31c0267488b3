"""Limits the rate of this gateway's requests to cold backend servers."""

from shallothinge import clock as clocks

# Each gateway may send a burst of one request; the rest of the rate is
# divided among the gateways.
BURST_REQUESTS = 1.0
MIN_RATE_FRACTION = 0.2


class ColdRateLimiter:
    """A token bucket for each cold backend server.

    The limit applies to the sum over all gateways. All of them may send their
    bursts in the same second, so the bursts are subtracted from the limit
    before it is divided; at least MIN_RATE_FRACTION of the rate is divided.

    :param slack_requests: requests that a cold server can take in a second
        beyond its rate.
    """

    def __init__(self, *, clock: clocks.Clock, slack_requests: float):
        self._clock = clock
        self._slack_requests = slack_requests
        self._buckets: dict[str, tuple[float, int]] = {}

    def take(
        self, *, server_id: str, rate_per_s: float, gateway_count: int
    ) -> bool:
        """Take a token if this gateway may send the server a request now.

        :param rate_per_s: requests per second that a cold server can take.
        :param gateway_count: number of gateways that share the rate.
        :returns: whether the request may be sent.
        """
        now_ms = self._clock.now_ms()
        tokens, updated_ms = self._buckets.get(
            server_id, (BURST_REQUESTS, now_ms)
        )
        limit_per_s = rate_per_s + self._slack_requests
        shared_per_s = max(
            MIN_RATE_FRACTION * rate_per_s,
            limit_per_s - gateway_count * BURST_REQUESTS,
        )
        refill_per_ms = shared_per_s / gateway_count / clocks.MS_PER_SECOND
        tokens = min(
            BURST_REQUESTS, tokens + (now_ms - updated_ms) * refill_per_ms
        )
        if tokens < 1.0:
            self._buckets[server_id] = (tokens, now_ms)
            return False
        self._buckets[server_id] = (tokens - 1.0, now_ms)
        return True

    def forget(self, *, known_ids: set[str]) -> None:
        """Remove the buckets of servers that are not listed any more."""
        for server_id in set(self._buckets) - known_ids:
            del self._buckets[server_id]
