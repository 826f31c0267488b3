"""Waiting work of one lane, in the order of fair shares.

Workspaces share a lane by their weight; within a workspace its classes
and size bands share by the weight of the class.
"""

import collections

import attrs

from shallothinge.admission import classes
from shallothinge.admission import shares

BAND_TOKENS = (4_000, 32_000)
BYPASS_FACTOR = 2


@attrs.frozen(kw_only=True)
class Work:
    """One request as the queue sees it.

    ``tokens`` counts prompt and answer; ``ends_ms`` is the instant of the
    deadline; ``weight`` is the workspace's.
    """

    request_id: str
    workspace: str
    request_class: classes.RequestClass
    tokens: int
    ends_ms: int
    weight: int = 1

    @property
    def flow(self) -> tuple[str, int]:
        """Return class and size band, which share within a workspace."""
        band = sum(self.tokens > limit for limit in BAND_TOKENS)
        return self.request_class.value, band


@attrs.define(kw_only=True)
class Waiting:
    """Work that waits.

    ``bypassed_tokens`` counts work that went ahead because this one did
    not fit; past a bound nothing more does.
    """

    work: Work
    not_before_ms: int = 0
    bypassed_tokens: int = 0

    def is_due(self, *, now_ms: int) -> bool:
        """Return whether the work may start now, in time."""
        return self.not_before_ms <= now_ms < self.work.ends_ms

    @property
    def may_be_bypassed(self) -> bool:
        """Return whether other work may still go ahead of this one."""
        return self.bypassed_tokens < BYPASS_FACTOR * self.work.tokens


@attrs.define(kw_only=True)
class _Workspace:
    """Waiting work of one workspace by flow, in order of arrival."""

    flows: dict = attrs.field(factory=dict)
    flow_shares: shares.FairShares = attrs.field(factory=shares.FairShares)


class Lane:
    """Waiting work, taken in the order of weighted fair shares."""

    def __init__(self):
        self._workspaces = {}
        self._shares = shares.FairShares()
        self._by_id = {}
        self._flow_tokens = collections.Counter()
        self.waiting_tokens = 0

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._by_id

    def __iter__(self):
        return iter(self._by_id.values())

    def add(self, waiting: Waiting) -> None:
        """Append work to its flow."""
        work = waiting.work
        space = self._workspaces.setdefault(work.workspace, _Workspace())
        space.flows.setdefault(work.flow, {})[work.request_id] = waiting
        space.flow_shares.activate(work.flow)
        self._shares.activate(work.workspace)
        self._by_id[work.request_id] = waiting
        self._count(work, tokens=work.tokens)

    def remove(self, request_id: str) -> Waiting | None:
        """Take work out without charging for it."""
        waiting = self._by_id.pop(request_id, None)
        if waiting is None:
            return None
        work = waiting.work
        self._count(work, tokens=-work.tokens)
        space = self._workspaces[work.workspace]
        flow = space.flows[work.flow]
        del flow[request_id]
        if not flow:
            del space.flows[work.flow]
            space.flow_shares.deactivate(work.flow)
        if not space.flows:
            self._shares.deactivate(work.workspace)
        return waiting

    def take(self, *, room_tokens: int, now_ms: int) -> Work | None:
        """Take the work whose turn it is, if it fits.

        Work that does not fit lets others go ahead up to a bound, so that
        small work uses the room and large work still gets its turn.

        :param room_tokens: how many tokens may be started now.
        """
        too_large = []
        for waiting in self._in_order(now_ms=now_ms):
            if waiting.work.tokens <= room_tokens:
                self._count_bypass(too_large, tokens=waiting.work.tokens)
                return self._start(waiting)
            if not waiting.may_be_bypassed:
                return None
            too_large.append(waiting)
        return None

    def tokens_ahead(self, work: Work) -> int:
        """Return the waiting tokens of a workspace's flow.

        They go before new work of that flow, in order of arrival.
        """
        return self._flow_tokens[work.workspace, work.flow]

    def _count(self, work: Work, *, tokens: int) -> None:
        self.waiting_tokens += tokens
        key = work.workspace, work.flow
        self._flow_tokens[key] += tokens
        if not self._flow_tokens[key]:
            del self._flow_tokens[key]

    def _in_order(self, *, now_ms: int):
        for name in self._shares.in_order():
            space = self._workspaces[name]
            for flow in space.flow_shares.in_order():
                for waiting in space.flows[flow].values():
                    if waiting.is_due(now_ms=now_ms):
                        yield waiting
                        break

    @staticmethod
    def _count_bypass(too_large: list[Waiting], *, tokens: int) -> None:
        for waiting in too_large:
            waiting.bypassed_tokens += tokens

    def _start(self, waiting: Waiting) -> Work:
        work = waiting.work
        space = self._workspaces[work.workspace]
        self._shares.charge(
            work.workspace, tokens=work.tokens, weight=work.weight
        )
        space.flow_shares.charge(
            work.flow,
            tokens=work.tokens,
            weight=classes.CLASS_WEIGHTS[work.request_class],
        )
        self.remove(work.request_id)
        return work
