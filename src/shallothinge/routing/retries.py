"""How often failed work may be tried again, and after what delay."""

import random

PERCENT = 100
BASE_DELAY_MS = 50
MAX_DELAY_MS = 2000


class RetryBudget:
    """Retries allowed as a share of fresh requests.

    :param percent: retries earned by a hundred fresh requests.
    :param burst: retries that may be saved up; the budget starts with
        them, so that an idle entry can retry too.
    """

    def __init__(self, *, percent: int, burst: int = 20):
        self._percent = percent
        self._cap = 0
        self.limit_burst(burst)
        self._saved = self._cap
        self.fresh_count = 0
        self.retry_count = 0
        self.denied_count = 0

    def limit_burst(self, burst: int) -> None:
        """Change how many retries may be saved up."""
        cap = burst * PERCENT
        if self._cap:
            self._saved = min(self._saved, cap)
        self._cap = cap

    def fresh(self) -> None:
        """Count one fresh request."""
        self.fresh_count += 1
        self._saved = min(self._cap, self._saved + self._percent)

    def take(self) -> bool:
        """Use up one retry.

        :returns: False if the budget is spent; the request must fail.
        """
        if self._saved < PERCENT:
            self.denied_count += 1
            return False
        self._saved -= PERCENT
        self.retry_count += 1
        return True


def delay_ms(*, failures: int, rng: random.Random) -> int:
    """Return a delay with full jitter, in milliseconds.

    :param failures: how often the work has failed or been refused so far.
    """
    ceiling_ms = min(MAX_DELAY_MS, BASE_DELAY_MS << min(failures, 16))
    return rng.randint(1, ceiling_ms)


def fits(*, delay_ms: int, remaining_ms: int) -> bool:
    """Return whether a retry after a delay starts before the deadline."""
    return delay_ms < remaining_ms
