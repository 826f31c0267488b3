"""Which backend servers a chat completion tries, and in what order."""

from shallothinge import tokens
from shallothinge.entry import chat_job
from shallothinge.reservations import plan as plans
from shallothinge.routing import choice

MAX_REFUSALS_IN_A_ROW = 3


class Selection:
    """Servers that one request has tried, and the next ones for it."""

    def __init__(self, *, job: chat_job.ChatJob, env: chat_job.Environment):
        self._job = job
        self._env = env
        self._hashes = tokens.block_hashes(job.request.prompt)
        self._refused_by = set()
        self._failed_on = set()

    def refused(self, server_id: str) -> None:
        """Note a server that did not take the request."""
        self._refused_by.add(server_id)

    def failed(self, server_id: str) -> None:
        """Note a server on which an attempt failed."""
        self._failed_on.add(server_id)

    def forget_refusals(self) -> None:
        """Let every server be asked again, after a wait or a start."""
        self._refused_by.clear()

    @property
    def may_ask_another(self) -> bool:
        """Return whether one more server may be asked without a wait."""
        if len(self._refused_by) >= MAX_REFUSALS_IN_A_ROW:
            return False
        return bool(self.candidates())

    def candidates(self) -> tuple[choice.Candidate, ...]:
        """Return servers to try; those that failed only if none is left."""
        fresh = self._fresh_candidates()
        preferred = tuple(
            each for each in fresh if each.server_id not in self._failed_on
        )
        return preferred or fresh

    def best(self, candidates: tuple[choice.Candidate, ...]) -> str:
        """Return the id of the server that the policy chooses."""
        chosen = self._env.policy.choose(
            candidates=candidates, tokens=self._job.tokens
        )
        return chosen.server_id

    @property
    def needs_span(self) -> bool:
        """Return whether the request is too large for every server."""
        largest = self._env.fleet.largest_tokens(need=self._job.need)
        return self._job.tokens > plans.usable_tokens(largest)

    def parts(self, *, plan_id: str) -> tuple[plans.Part, ...]:
        """Return parts on servers that did not fail, or else on any.

        :returns: empty if there is not enough room.
        """
        for candidates in (self.candidates(), self._fresh_candidates()):
            parts = plans.choose_parts(
                rooms=self._env.fleet.rooms(candidates=candidates),
                tokens=self._job.tokens,
                plan_id=plan_id,
            )
            if parts:
                return parts
        return ()

    def _fresh_candidates(self) -> tuple[choice.Candidate, ...]:
        found = self._env.fleet.candidates(
            need=self._job.need, hashes=self._hashes
        )
        return tuple(
            candidate
            for server_id, candidate in found.items()
            if server_id not in self._refused_by
        )
