"""Claims that this agent has let through, so that none runs twice."""

import collections

REMEMBERED_CLAIMS = 100_000


class ClaimLog:
    """Remembers the claims that were sent to the service.

    Claims are numbered by the replicated log. When old ones are forgotten,
    every number up to the newest forgotten one counts as sent.
    """

    def __init__(self, *, remembered: int = REMEMBERED_CLAIMS):
        self._remembered = remembered
        self._sent = collections.OrderedDict()
        self._all_sent_to = 0

    def may_send(self, *, claim_index: int) -> bool:
        """Return whether the claim has not been sent before."""
        if claim_index <= self._all_sent_to:
            return False
        return claim_index not in self._sent

    def sending(self, *, claim_index: int) -> None:
        """Note that the claim's call is about to be sent."""
        self._sent[claim_index] = True
        while len(self._sent) > self._remembered:
            forgotten, _ = self._sent.popitem(last=False)
            self._all_sent_to = max(self._all_sent_to, forgotten)
