"""This gateway's share of what a cold backend server may get."""

from shallothinge import clock as clocks

# A gateway may send one request at once; the rest of the rate is divided.
BURST_REQUESTS = 1.0
LEAST_SHARE = 0.2


class ColdShare:
    """Limits requests to each cold backend server.

    The limit holds for the sum over all gateways, each of which may send
    its burst in the same second; the rate that is divided is what is left.

    :param slack_requests: what a cold server bears in a second beyond its
        rate.
    """

    def __init__(self, *, clock: clocks.Clock, slack_requests: float):
        self._clock = clock
        self._slack_requests = slack_requests
        self._spent: dict[str, tuple[float, int]] = {}

    def take(
        self, *, server_id: str, rate_per_s: float, gateway_count: int
    ) -> bool:
        """Use up one request, if the server may get one from here now.

        :param rate_per_s: requests a second that a cold server bears.
        :param gateway_count: how many gateways share the rate.
        """
        now_ms = self._clock.now_ms()
        saved, at_ms = self._spent.get(server_id, (BURST_REQUESTS, now_ms))
        bearable = rate_per_s + self._slack_requests
        total = max(
            LEAST_SHARE * rate_per_s, bearable - gateway_count * BURST_REQUESTS
        )
        per_ms = total / gateway_count / clocks.MS_PER_SECOND
        saved = min(BURST_REQUESTS, saved + (now_ms - at_ms) * per_ms)
        if saved < 1.0:
            self._spent[server_id] = (saved, now_ms)
            return False
        self._spent[server_id] = (saved - 1.0, now_ms)
        return True

    def forget(self, *, known_ids: set[str]) -> None:
        """Forget servers that are not listed any more."""
        for server_id in set(self._spent) - known_ids:
            del self._spent[server_id]
