"""Slices of the workspaces' allowances that one entry holds."""

import enum

import attrs

from shallothinge import clock as clocks
from shallothinge.allowances import messages

SLICE_TOKENS = 200_000
LOW_PERCENT = 50
EXHAUSTED_MS = 5000
PERCENT = 100


class Verdict(enum.Enum):
    """Whether a request may spend tokens now."""

    RESERVED = 'reserved'
    WAIT_FOR_SLICE = 'wait_for_slice'
    EXHAUSTED = 'exhausted'


@attrs.define(kw_only=True)
class _Account:
    """What the entry may still hand to one workspace's requests.

    ``demand_tokens`` is what the largest waiting request lacks.
    """

    available_tokens: int = 0
    unlimited: bool = False
    asking: bool = False
    demand_tokens: int = 0
    exhausted_until_ms: int | None = None
    reserved: dict = attrs.field(factory=dict)


class AllowanceBook:
    """Reserves by estimate and settles by measured tokens.

    The sum of all reservations never exceeds what control handed over.
    """

    def __init__(self, *, clock: clocks.Clock):
        self._clock = clock
        self._accounts = {}

    def reserve(
        self, *, request_id: str, workspace: str, tokens: int
    ) -> Verdict:
        """Set tokens aside for a request."""
        account = self._account(workspace)
        if account.unlimited or account.available_tokens >= tokens:
            account.available_tokens -= tokens
            account.reserved[request_id] = tokens
            return Verdict.RESERVED
        until_ms = account.exhausted_until_ms
        if until_ms is not None and self._clock.now_ms() < until_ms:
            return Verdict.EXHAUSTED
        lack_tokens = tokens - account.available_tokens
        account.demand_tokens = max(account.demand_tokens, lack_tokens)
        return Verdict.WAIT_FOR_SLICE

    def settle(self, *, request_id: str, workspace: str, tokens: int) -> None:
        """Replace a request's estimate by what it really spent."""
        account = self._account(workspace)
        reserved_tokens = account.reserved.pop(request_id, None)
        if reserved_tokens is not None:
            account.available_tokens += reserved_tokens - tokens

    def wanted(self, *, workspace: str) -> int:
        """Return how many tokens to ask for now, 0 if none.

        Asks once at a time, and ahead of need. Having returned a number it
        counts as asked until ``granted`` or ``not_granted``.
        """
        account = self._account(workspace)
        if account.asking or account.unlimited:
            return 0
        until_ms = account.exhausted_until_ms
        if until_ms is not None and self._clock.now_ms() < until_ms:
            return 0
        low_tokens = SLICE_TOKENS * LOW_PERCENT // PERCENT
        if not account.demand_tokens:
            if account.available_tokens >= low_tokens:
                return 0
        account.asking = True
        return max(SLICE_TOKENS, account.demand_tokens)

    def granted(self, grant: messages.SliceGranted) -> None:
        """Add a slice; an empty one means that the allowance is used up."""
        account = self._account(grant.workspace)
        account.asking = False
        account.demand_tokens = 0
        account.unlimited = grant.unlimited
        account.available_tokens += grant.tokens
        account.exhausted_until_ms = None
        if not grant.tokens and not grant.unlimited:
            account.exhausted_until_ms = self._clock.now_ms() + EXHAUSTED_MS

    def not_granted(self, *, workspace: str) -> None:
        """Note that control did not answer."""
        account = self._account(workspace)
        account.asking = False
        account.demand_tokens = 0

    def drop_slices(self) -> None:
        """Forget all that was handed over: the entry's lease lapsed.

        What running requests had reserved does not come back.
        """
        for account in self._accounts.values():
            account.available_tokens = 0
            account.reserved = {}

    def describe(self) -> dict:
        """Return the accounts, for dumps."""
        return {
            name: attrs.asdict(account)
            for name, account in self._accounts.items()
        }

    def _account(self, workspace: str) -> _Account:
        account = self._accounts.get(workspace)
        if account is None:
            account = self._accounts[workspace] = _Account()
        return account
