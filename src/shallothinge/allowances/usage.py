"""Usage that an entry has measured and not yet stored with control."""

import attrs

from shallothinge.allowances import messages


@attrs.frozen(kw_only=True)
class UsageKey:
    """What one usage record is about; ``day`` is in UTC."""

    workspace: str
    model: str
    day: str


class UsageBook:
    """Sums usage and reports it in numbered batches until stored.

    One batch is under way at a time, so that the sequence has no gaps.
    """

    def __init__(self, *, entry_id: str, entry_incarnation: str):
        self._entry_id = entry_id
        self._entry_incarnation = entry_incarnation
        self._records = {}
        self._batch = None
        self._sequence = 0

    @property
    def is_empty(self) -> bool:
        """Return whether everything measured is stored."""
        return not self._records and self._batch is None

    def add(
        self,
        *,
        key: UsageKey,
        prompt_tokens: int,
        cached_tokens: int,
        generated_tokens: int,
    ) -> None:
        """Add the usage of one request."""
        old = self._records.get(key)
        if old is None:
            old = messages.UsageRecord(
                workspace=key.workspace,
                model=key.model,
                day=key.day,
                requests=0,
                prompt_tokens=0,
                cached_tokens=0,
                generated_tokens=0,
            )
        self._records[key] = attrs.evolve(
            old,
            requests=old.requests + 1,
            prompt_tokens=old.prompt_tokens + prompt_tokens,
            cached_tokens=old.cached_tokens + cached_tokens,
            generated_tokens=old.generated_tokens + generated_tokens,
        )

    def next_batch(self) -> messages.UsageReported | None:
        """Return the batch to send, the same one until it is stored."""
        if self._batch is None and self._records:
            self._sequence += 1
            self._batch = messages.UsageReported(
                entry_id=self._entry_id,
                entry_incarnation=self._entry_incarnation,
                sequence=self._sequence,
                records=tuple(self._records.values()),
            )
            self._records = {}
        return self._batch

    def stored(self, *, sequence: int) -> None:
        """Forget a batch that is in the durable ledger."""
        if self._batch is not None and self._batch.sequence == sequence:
            self._batch = None
