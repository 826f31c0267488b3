"""Load-balancing policies that choose one of the eligible backend servers.

Load reports are stale when they arrive, so each policy except the baselines
also takes the entry's own requests in flight into account.
"""

import random
from typing import Protocol

import attrs

SAMPLE_SIZE = 2
PREFILL_TOKENS_PER_MS = 20
WAITING_REQUEST_MS = 5
COLD_PENALTY_MS = 500


@attrs.frozen(kw_only=True)
class Candidate:
    """An eligible backend server and its load as known to the entry.

    ``own_tokens`` are the tokens of the entry's own requests in flight on
    the server. Of these, ``own_prefill_tokens`` belong to prompts that have
    no first token yet and whose priority puts them before the request.
    ``reported_tokens``, ``backlog_tokens``, ``waiting`` (a number of
    requests) and ``cold`` come from the last load report of the server.
    ``cached_tokens`` of the prompt are in its prefix cache.
    """

    server_id: str
    zone: str = ''
    limit_tokens: int = 0
    own_tokens: int = 0
    own_prefill_tokens: int = 0
    reported_tokens: int = 0
    backlog_tokens: int = 0
    waiting: int = 0
    cached_tokens: int = 0
    cold: bool = False

    @property
    def used_tokens(self) -> int:
        """Return the higher of the own and the reported token counts."""
        return max(self.own_tokens, self.reported_tokens)


class Policy(Protocol):
    """Chooses a backend server for a request."""

    def choose(
        self, *, candidates: tuple[Candidate, ...], tokens: int
    ) -> Candidate:
        """Return one of the candidates.

        :param candidates: at least one candidate.
        :param tokens: tokens of the request's prompt and answer.
        """


class RandomChoice:
    """Chooses uniformly at random; a baseline."""

    def __init__(self, *, rng: random.Random):
        self._rng = rng

    def choose(
        self, *, candidates: tuple[Candidate, ...], tokens: int
    ) -> Candidate:
        """Return a random candidate."""
        return self._rng.choice(candidates)


class RoundRobin:
    """Chooses in turn, in the order of server ids; a baseline."""

    def __init__(self):
        self._last_id = ''

    def choose(
        self, *, candidates: tuple[Candidate, ...], tokens: int
    ) -> Candidate:
        """Return the candidate after the one chosen last."""
        ordered = sorted(candidates, key=lambda each: each.server_id)
        later = [each for each in ordered if each.server_id > self._last_id]
        chosen = (later or ordered)[0]
        self._last_id = chosen.server_id
        return chosen


def load_ratio(candidate: Candidate, *, tokens: int) -> float:
    """Return used tokens divided by the limit, with the request included.

    Prompt tokens in the prefix cache of the server are not counted, so that
    a request goes where its prefix is cached unless that server is
    overloaded.
    """
    limit_tokens = max(1, candidate.limit_tokens)
    uncached_tokens = max(0, tokens - candidate.cached_tokens)
    return (candidate.used_tokens + uncached_tokens) / limit_tokens


class TwoChoices:
    """Power of two random choices, by load ratio.

    A candidate with the longest cached prefix is considered as well.
    """

    def __init__(self, *, rng: random.Random):
        self._rng = rng

    def choose(
        self, *, candidates: tuple[Candidate, ...], tokens: int
    ) -> Candidate:
        """Return the sampled candidate with the lowest load ratio."""
        sampled = sample_candidates(candidates, rng=self._rng)
        return min(sampled, key=lambda each: load_ratio(each, tokens=tokens))


def sample_candidates(
    candidates: tuple[Candidate, ...], *, rng: random.Random
) -> list[Candidate]:
    """Return two random candidates and one with the longest cached prefix.

    The latter is added only if neither of the two has as long a prefix.
    Among several candidates with the longest prefix a random one is picked,
    so that a prefix that all requests share does not send them all to one
    server.
    """
    count = min(SAMPLE_SIZE, len(candidates))
    sampled = rng.sample(candidates, count)
    longest_prefix_tokens = max(each.cached_tokens for each in candidates)
    if longest_prefix_tokens > max(each.cached_tokens for each in sampled):
        best = [
            each
            for each in candidates
            if each.cached_tokens == longest_prefix_tokens
        ]
        sampled.append(rng.choice(best))
    return sampled


def time_to_first_token_ms(candidate: Candidate, *, tokens: int) -> float:
    """Return the estimated time to the first token, in milliseconds.

    The reported backlog is not counted, because it does not distinguish
    urgent prompts from long ones, which any other prompt overtakes.
    """
    uncached_tokens = max(0, tokens - candidate.cached_tokens)
    work_tokens = uncached_tokens + candidate.own_prefill_tokens
    estimate_ms = work_tokens / PREFILL_TOKENS_PER_MS
    estimate_ms += candidate.waiting * WAITING_REQUEST_MS
    if candidate.cold:
        estimate_ms += COLD_PENALTY_MS
    return estimate_ms


class LeastTimeToFirstToken:
    """Power of two random choices, by estimated time to first token.

    A candidate with the longest cached prefix is considered as well.
    Candidates without enough free memory come last; ties go to the lowest
    load ratio.
    """

    def __init__(self, *, rng: random.Random):
        self._rng = rng

    def choose(
        self, *, candidates: tuple[Candidate, ...], tokens: int
    ) -> Candidate:
        """Return the sampled candidate with the least estimated time."""
        sampled = sample_candidates(candidates, rng=self._rng)
        return min(
            sampled,
            key=lambda each: (
                load_ratio(each, tokens=tokens) > 1,
                time_to_first_token_ms(each, tokens=tokens),
                load_ratio(each, tokens=tokens),
            ),
        )


def build_policy(*, name: str, rng: random.Random) -> Policy:
    """Return the policy with the given name from the settings.

    :raises ValueError: if there is no policy of that name.
    """
    if name == 'random':
        return RandomChoice(rng=rng)
    if name == 'round_robin':
        return RoundRobin()
    if name == 'two_choices':
        return TwoChoices(rng=rng)
    if name == 'least_first_token':
        return LeastTimeToFirstToken(rng=rng)
    raise ValueError(
        f'unknown routing policy {name}; allowed: random, round_robin, '
        'two_choices, least_first_token'
    )
