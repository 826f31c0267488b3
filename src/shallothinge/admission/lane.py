"""Two-level weighted fair queue for the waiting work of one lane.

Workspaces share a lane in proportion to their weights. Within a
workspace, each flow (a request class and a size band) gets a share in
proportion to the weight of its class.
"""

import collections

import attrs

from shallothinge.admission import classes
from shallothinge.admission import shares

SIZE_BAND_TOKENS = (4_000, 32_000)
BYPASS_FACTOR = 2


@attrs.frozen(kw_only=True)
class Work:
    """The scheduling attributes of one request.

    ``tokens`` counts prompt and answer; ``deadline_ms`` is the time of the
    deadline on the queue's clock; ``weight`` is the fair-share weight of
    the workspace.
    """

    request_id: str
    workspace: str
    request_class: classes.RequestClass
    tokens: int
    deadline_ms: int
    weight: int = 1

    @property
    def flow(self) -> tuple[str, int]:
        """Return the class and size band that identify the flow."""
        band = sum(self.tokens > limit for limit in SIZE_BAND_TOKENS)
        return self.request_class.value, band


@attrs.define(kw_only=True)
class WaitingWork:
    """Work that waits in a lane.

    It does not start before ``not_before_ms``. ``bypassed_tokens`` counts
    the tokens of other work that started first because this work did not
    fit. At ``BYPASS_FACTOR`` times its own tokens, no further work may
    bypass it.
    """

    work: Work
    not_before_ms: int = 0
    bypassed_tokens: int = 0

    def may_start(self, *, now_ms: int) -> bool:
        """Return whether the delay is over and the deadline not reached."""
        return self.not_before_ms <= now_ms < self.work.deadline_ms

    @property
    def may_be_bypassed(self) -> bool:
        """Return whether other work may still start before this work."""
        return self.bypassed_tokens < BYPASS_FACTOR * self.work.tokens


@attrs.define(kw_only=True)
class _WorkspaceQueue:
    """Waiting work of one workspace, per flow in order of arrival."""

    flows: dict = attrs.field(factory=dict)
    flow_shares: shares.FairShares = attrs.field(factory=shares.FairShares)


class Lane:
    """Waiting work that is dequeued in weighted fair order."""

    def __init__(self):
        self._workspaces = {}
        self._workspace_shares = shares.FairShares()
        self._waiting_by_id = {}
        self._flow_tokens = collections.Counter()
        self.waiting_tokens = 0

    def __len__(self) -> int:
        return len(self._waiting_by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._waiting_by_id

    def __iter__(self):
        return iter(self._waiting_by_id.values())

    def add(self, waiting: WaitingWork) -> None:
        """Append work to the end of its flow."""
        work = waiting.work
        queue = self._workspaces.setdefault(work.workspace, _WorkspaceQueue())
        queue.flows.setdefault(work.flow, {})[work.request_id] = waiting
        queue.flow_shares.activate(work.flow)
        self._workspace_shares.activate(work.workspace)
        self._waiting_by_id[work.request_id] = waiting
        self._add_waiting_tokens(work, tokens=work.tokens)

    def remove(self, request_id: str) -> WaitingWork | None:
        """Remove work without charging its workspace and flow for it.

        :returns: the removed work, or None if the id is not in the lane.
        """
        waiting = self._waiting_by_id.pop(request_id, None)
        if waiting is None:
            return None
        work = waiting.work
        self._add_waiting_tokens(work, tokens=-work.tokens)
        queue = self._workspaces[work.workspace]
        flow = queue.flows[work.flow]
        del flow[request_id]
        if not flow:
            del queue.flows[work.flow]
            queue.flow_shares.deactivate(work.flow)
        if not queue.flows:
            self._workspace_shares.deactivate(work.workspace)
        return waiting

    def take(self, *, free_tokens: int, now_ms: int) -> Work | None:
        """Dequeue the first work in fair order that fits.

        Work that does not fit may be bypassed up to a bound, so that small
        work uses the free capacity and large work does not starve.

        :param free_tokens: how many tokens may be started now.
        :returns: the work, or None if nothing may start.
        """
        too_large = []
        for waiting in self._due_in_fair_order(now_ms=now_ms):
            if waiting.work.tokens <= free_tokens:
                self._add_bypassed_tokens(
                    too_large, tokens=waiting.work.tokens
                )
                return self._dequeue(waiting)
            if not waiting.may_be_bypassed:
                return None
            too_large.append(waiting)
        return None

    def tokens_ahead(self, work: Work) -> int:
        """Return the waiting tokens in the same workspace and flow.

        A flow is served in order of arrival, so these start before new
        work of the flow.
        """
        return self._flow_tokens[work.workspace, work.flow]

    def _add_waiting_tokens(self, work: Work, *, tokens: int) -> None:
        self.waiting_tokens += tokens
        key = work.workspace, work.flow
        self._flow_tokens[key] += tokens
        if not self._flow_tokens[key]:
            del self._flow_tokens[key]

    def _due_in_fair_order(self, *, now_ms: int):
        for name in self._workspace_shares.in_order():
            queue = self._workspaces[name]
            for flow in queue.flow_shares.in_order():
                for waiting in queue.flows[flow].values():
                    if waiting.may_start(now_ms=now_ms):
                        yield waiting
                        break

    @staticmethod
    def _add_bypassed_tokens(
        too_large: list[WaitingWork], *, tokens: int
    ) -> None:
        for waiting in too_large:
            waiting.bypassed_tokens += tokens

    def _dequeue(self, waiting: WaitingWork) -> Work:
        work = waiting.work
        queue = self._workspaces[work.workspace]
        self._workspace_shares.charge(
            work.workspace, tokens=work.tokens, weight=work.weight
        )
        queue.flow_shares.charge(
            work.flow,
            tokens=work.tokens,
            weight=classes.CLASS_WEIGHTS[work.request_class],
        )
        self.remove(work.request_id)
        return work
