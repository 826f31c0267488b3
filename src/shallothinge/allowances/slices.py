"""Replicated state of token allowances handed to entries in slices.

What a workspace has spent this month and what its entries hold unspent
never exceeds its allowance when a slice is handed out. An entry's unspent
part counts as spent until its lease has surely run out; then it returns,
by the usage that the entry reported.
"""

import attrs

from shallothinge.allowances import messages
from shallothinge.leases.messages import Holder

REMEMBERED_ANSWERS = 16


@attrs.frozen(kw_only=True)
class Slice:
    """Tokens that one entry was handed for a workspace this month."""

    holder: Holder
    granted_tokens: int = 0
    used_tokens: int = 0

    @property
    def unspent_tokens(self) -> int:
        """Return what the entry may still spend."""
        return max(0, self.granted_tokens - self.used_tokens)


@attrs.define(kw_only=True)
class WorkspaceSpend:
    """A workspace's spending this month, with its entries' slices."""

    spent_tokens: int = 0
    slices: dict[str, Slice] = attrs.field(factory=dict)

    @property
    def held_tokens(self) -> int:
        """Return what entries hold unspent."""
        return sum(held.unspent_tokens for held in self.slices.values())


@attrs.define(kw_only=True)
class Allowances:
    """Spending by workspace in one month (``YYYY-MM``, UTC).

    ``answers`` holds each entry's last grants, for resent requests;
    ``lapses`` how often an entry's lease lapsed, if it did.
    """

    month: str = ''
    by_workspace: dict[str, WorkspaceSpend] = attrs.field(factory=dict)
    answers: dict[str, tuple[messages.SliceGranted, ...]] = attrs.field(
        factory=dict
    )
    lapses: dict[str, int] = attrs.field(factory=dict)

    def begin_month(self, *, month: str) -> None:
        """Start a month, if it is a new one.

        What entries hold unspent is carried over and counts in the new
        month, since they go on spending it.
        """
        if month <= self.month:
            return
        self.month = month
        for spend in self.by_workspace.values():
            spend.spent_tokens = 0
            for name, held in list(spend.slices.items()):
                spend.slices[name] = attrs.evolve(
                    held, granted_tokens=held.unspent_tokens, used_tokens=0
                )

    def grant(
        self, *, request: messages.SliceRequested, allowance_tokens: int
    ) -> messages.SliceGranted:
        """Hand over a slice, as much as the allowance still holds.

        :param allowance_tokens: the workspace's allowance for a month; 0
            is no limit.
        """
        holder = Holder(
            holder_id=request.entry_id, incarnation=request.entry_incarnation
        )
        name = _name_of(holder)
        for answer in self.answers.get(name, ()):
            if answer.request_id == request.request_id:
                return answer
        known_lapses = self.lapses.get(name, 0)
        if request.lapses > known_lapses:
            self._drop_slices(name)
            self.lapses[name] = request.lapses
        tokens = 0
        if allowance_tokens and request.lapses >= known_lapses:
            tokens = self._hand_over(holder, request, allowance_tokens)
        answer = messages.SliceGranted(
            request_id=request.request_id,
            workspace=request.workspace,
            tokens=tokens,
            unlimited=allowance_tokens == 0,
        )
        kept = (*self.answers.get(name, ()), answer)
        self.answers[name] = kept[-REMEMBERED_ANSWERS:]
        return answer

    def settle(
        self, *, holder: Holder, records: tuple[messages.UsageRecord, ...]
    ) -> None:
        """Count measured usage as spent, and off the entry's slices."""
        name = _name_of(holder)
        for record in records:
            spend = self._spend_of(record.workspace)
            tokens = charged_tokens(record)
            if record.day.startswith(self.month):
                spend.spent_tokens += tokens
            held = spend.slices.get(name)
            if held is not None:
                spend.slices[name] = attrs.evolve(
                    held, used_tokens=held.used_tokens + tokens
                )

    def end_holders(self, *, holders: tuple[Holder, ...]) -> None:
        """Return the unspent part of slices whose holders' leases ended."""
        for holder in holders:
            self._drop_slices(_name_of(holder))
            self.lapses.pop(_name_of(holder), None)

    def holders(self) -> set[Holder]:
        """Return the entries that hold slices."""
        return {
            held.holder
            for spend in self.by_workspace.values()
            for held in spend.slices.values()
        }

    def _hand_over(self, holder, request, allowance_tokens) -> int:
        """Hand over tokens, or take them back if fewer than 0 are asked."""
        spend = self._spend_of(request.workspace)
        name = _name_of(holder)
        held = spend.slices.get(name, Slice(holder=holder))
        free_tokens = allowance_tokens - spend.spent_tokens
        free_tokens -= spend.held_tokens
        tokens = min(request.tokens, max(0, free_tokens))
        tokens = max(tokens, -held.unspent_tokens)
        if tokens:
            spend.slices[name] = attrs.evolve(
                held, granted_tokens=held.granted_tokens + tokens
            )
        return tokens

    def _drop_slices(self, name: str) -> None:
        self.answers.pop(name, None)
        for spend in self.by_workspace.values():
            spend.slices.pop(name, None)

    def _spend_of(self, workspace: str) -> WorkspaceSpend:
        return self.by_workspace.setdefault(workspace, WorkspaceSpend())


def charged_tokens(record: messages.UsageRecord) -> int:
    """Return the tokens of a record that count against the allowance."""
    return record.prompt_tokens + record.generated_tokens


def _name_of(holder: Holder) -> str:
    return f'{holder.holder_id}/{holder.incarnation}'
