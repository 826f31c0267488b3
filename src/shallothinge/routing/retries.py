"""Retry budget and retry delays."""

import random

PERCENT = 100
BASE_DELAY_MS = 50
MAX_DELAY_MS = 2000
# Share of the retry budget that hedges may take, in percent. The calls of a
# service that becomes slow are all hedged, and most of the credit must be
# left to requests that have failed.
HEDGE_PERCENT = 40


class RetryBudget:
    """Limits retries to a percentage of first attempts, plus a burst.

    The credit is counted in hundredths of a retry. Hedges, which are retries
    before a failure is known, have a smaller credit of their own as well.

    :param percent: retries allowed per hundred first attempts.
    :param burst: maximum retries that may be saved up. The budget starts
        with all of them, so that an idle entry can retry too.
    """

    def __init__(self, *, percent: int, burst: int = 20):
        self._percent = percent
        self._max_credit = 0
        self._hedge_credit = 0
        self.limit_burst(burst)
        self._credit = self._max_credit
        self._hedge_credit = self._max_hedge_credit
        self.fresh_count = 0
        self.retry_count = 0
        self.denied_count = 0

    def limit_burst(self, burst: int) -> None:
        """Set how many retries may be saved up; excess credit is dropped."""
        max_credit = burst * PERCENT
        if self._max_credit:
            self._credit = min(self._credit, max_credit)
        self._max_credit = max_credit
        self._hedge_credit = min(self._hedge_credit, self._max_hedge_credit)

    @property
    def _max_hedge_credit(self) -> int:
        """Return the limit of the credit for hedges, one hedge at least.

        It is counted in ten thousandths of a hedge.
        """
        return max(PERCENT * PERCENT, HEDGE_PERCENT * self._max_credit)

    def fresh(self) -> None:
        """Record the first attempt of a request, which adds credit."""
        self.fresh_count += 1
        self._credit = min(self._max_credit, self._credit + self._percent)
        self._hedge_credit = min(
            self._max_hedge_credit,
            self._hedge_credit + HEDGE_PERCENT * self._percent,
        )

    @property
    def has_hedge_credit(self) -> bool:
        """Return whether the credit covers a hedge."""
        return self.has_credit and self._hedge_credit >= PERCENT * PERCENT

    def take_hedge(self) -> bool:
        """Spend the credit for one hedge, which is a retry, too.

        :returns: False if there is no credit for it.
        """
        if not self.has_hedge_credit:
            return False
        self._hedge_credit -= PERCENT * PERCENT
        return self.take()

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

    def refund(self) -> None:
        """Return the credit of a retry that was not sent."""
        self._credit = min(self._max_credit, self._credit + PERCENT)
        self.retry_count -= 1


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
