"""Retry budget and retry delays."""

import random

PERCENT = 100
BASE_DELAY_MS = 50
MAX_DELAY_MS = 2000


class RetryBudget:
    """Limits retries to a percentage of first attempts, plus a burst.

    The credit is counted in hundredths of a retry.

    :param percent: retries allowed per hundred first attempts.
    :param burst: maximum retries that may be saved up. The budget starts
        with all of them, so that an idle entry can retry too.
    """

    def __init__(self, *, percent: int, burst: int = 20):
        self._percent = percent
        self._max_credit = 0
        self.limit_burst(burst)
        self._credit = self._max_credit
        self.fresh_count = 0
        self.retry_count = 0
        self.denied_count = 0

    def limit_burst(self, burst: int) -> None:
        """Set how many retries may be saved up; excess credit is dropped."""
        max_credit = burst * PERCENT
        if self._max_credit:
            self._credit = min(self._credit, max_credit)
        self._max_credit = max_credit

    def fresh(self) -> None:
        """Record the first attempt of a request, which adds credit."""
        self.fresh_count += 1
        self._credit = min(self._max_credit, self._credit + self._percent)

    @property
    def has_credit(self) -> bool:
        """Return whether the credit covers a retry."""
        return self._credit >= PERCENT

    def take(self) -> bool:
        """Spend the credit for one retry.

        :returns: False if the budget is exhausted and the request must fail.
        """
        if not self.has_credit:
            self.denied_count += 1
            return False
        self._credit -= PERCENT
        self.retry_count += 1
        return True


def delay_ms(*, failures: int, rng: random.Random) -> int:
    """Return an exponential backoff delay with full jitter.

    :param failures: how often the work has failed or been refused so far.
    :returns: the delay in milliseconds, at least 1.
    """
    ceiling_ms = min(MAX_DELAY_MS, BASE_DELAY_MS << min(failures, 16))
    return rng.randint(1, ceiling_ms)


def starts_before_deadline(*, delay_ms: int, remaining_ms: int) -> bool:
    """Return whether a retry after the delay starts before the deadline."""
    return delay_ms < remaining_ms
