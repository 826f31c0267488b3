"""Messages between an entry and control about allowances and usage."""

import attrs


@attrs.frozen(kw_only=True)
class SliceRequested:
    """Entry to control: hand over tokens of a workspace's allowance.

    ``request_id`` is the same when the request is resent. ``lapses`` is how
    often the entry's lease lapsed; slices from before a lapse are void.
    ``tokens`` below 0 hands back tokens that the entry holds unspent.
    """

    request_id: str
    entry_id: str
    entry_incarnation: str
    workspace: str
    tokens: int
    lapses: int = 0


@attrs.frozen(kw_only=True)
class SliceGranted:
    """Control to entry: tokens that the entry may let requests spend.

    ``tokens`` is 0 when the allowance is exhausted. ``unlimited`` is true
    for a workspace without an allowance.
    """

    request_id: str
    workspace: str
    tokens: int
    unlimited: bool = False


@attrs.frozen(kw_only=True)
class UsageRecord:
    """Tokens that one workspace used of one model on one day (UTC)."""

    workspace: str
    model: str
    day: str
    requests: int
    prompt_tokens: int
    cached_tokens: int
    generated_tokens: int


@attrs.frozen(kw_only=True)
class UsageReported:
    """Entry to control: usage to add to the ledger, once a sequence."""

    entry_id: str
    entry_incarnation: str
    sequence: int
    records: tuple[UsageRecord, ...]


@attrs.frozen(kw_only=True)
class UsageStored:
    """Control to entry: the report is in the durable ledger."""

    sequence: int


MESSAGES = (
    SliceRequested,
    SliceGranted,
    UsageReported,
    UsageStored,
)
