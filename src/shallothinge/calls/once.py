"""Records the claims that an agent has sent, so that none runs twice."""

import collections

MAX_RECORDED_CLAIMS = 100_000


class ClaimLog:
    """Bounded record of the claims whose calls were sent to the service.

    A claim is identified by its index in the replicated log. When the
    record is full, the claim recorded first is evicted, and every index up
    to the highest evicted one counts as sent.

    :param max_claims: number of claims to keep.
    """

    def __init__(self, *, max_claims: int = MAX_RECORDED_CLAIMS):
        self._max_claims = max_claims
        self._sent = collections.OrderedDict()
        self._max_evicted_index = 0

    def may_send(self, *, claim_index: int) -> bool:
        """Return whether the claim has not been sent before."""
        if claim_index <= self._max_evicted_index:
            return False
        return claim_index not in self._sent

    def sending(self, *, claim_index: int) -> None:
        """Record that the claim's call is about to be sent."""
        self._sent[claim_index] = True
        while len(self._sent) > self._max_claims:
            evicted_index, _ = self._sent.popitem(last=False)
            self._max_evicted_index = max(
                self._max_evicted_index, evicted_index
            )
