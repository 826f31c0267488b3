"""Policies that choose one backend server among those that may serve.

Reports of load lag, so each policy but the baselines counts the entry's
own requests in flight on top of what was reported.
"""

import random
from typing import Protocol

import attrs

TWO_CHOICES = 2
PREFILL_TOKENS_PER_MS = 20
WAITING_MS = 5
COLD_PENALTY_MS = 500


@attrs.frozen(kw_only=True)
class Candidate:
    """One backend server as the entry sees it.

    ``own_tokens`` are the entry's own tokens in flight there, of which
    ``own_prefill_tokens`` belong to prompts that have no first token yet
    and go before the request by their priority;
    ``reported_tokens`` and ``backlog_tokens`` come from its last report;
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
        """Return the tokens held, as far as the entry can tell."""
        return max(self.own_tokens, self.reported_tokens)


class Policy(Protocol):
    """Chooses a backend server for a request."""

    def choose(
        self, *, candidates: tuple[Candidate, ...], tokens: int
    ) -> Candidate:
        """Return one of the candidates, of which there is at least one.

        :param tokens: tokens of the request's prompt and answer.
        """


class RandomChoice:
    """Any candidate, each as likely as the others; a baseline."""

    def __init__(self, *, rng: random.Random):
        self._rng = rng

    def choose(
        self, *, candidates: tuple[Candidate, ...], tokens: int
    ) -> Candidate:
        """Return a random candidate."""
        return self._rng.choice(candidates)


class RoundRobin:
    """One candidate after the other, by server id; a baseline."""

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
    """Return the share of the limit that would be used with the request.

    Tokens of the prompt that are cached there are not counted, so that a
    request follows its prefix as long as that server is not overloaded.
    """
    limit_tokens = max(1, candidate.limit_tokens)
    fresh_tokens = max(0, tokens - candidate.cached_tokens)
    return (candidate.used_tokens + fresh_tokens) / limit_tokens


class TwoChoices:
    """The less loaded of two random candidates and the best cached one."""

    def __init__(self, *, rng: random.Random):
        self._rng = rng

    def choose(
        self, *, candidates: tuple[Candidate, ...], tokens: int
    ) -> Candidate:
        """Return the candidate with the least load of those drawn."""
        drawn = draw(candidates, rng=self._rng)
        return min(drawn, key=lambda each: load_ratio(each, tokens=tokens))


def draw(
    candidates: tuple[Candidate, ...], *, rng: random.Random
) -> list[Candidate]:
    """Return two random candidates and one with the longest prefix.

    Of several with equal prefixes a random one is drawn, so that a prefix
    that all requests share does not lead them all to one server.
    """
    count = min(TWO_CHOICES, len(candidates))
    drawn = rng.sample(candidates, count)
    longest = max(each.cached_tokens for each in candidates)
    if longest > max(each.cached_tokens for each in drawn):
        best = [each for each in candidates if each.cached_tokens == longest]
        drawn.append(rng.choice(best))
    return drawn


def first_token_ms(candidate: Candidate, *, tokens: int) -> float:
    """Return the estimated time to the first token, in milliseconds.

    The reported backlog is left out: it does not tell urgent prompts from
    long ones that any other goes before.
    """
    fresh_tokens = max(0, tokens - candidate.cached_tokens)
    work_tokens = fresh_tokens + candidate.own_prefill_tokens
    estimate_ms = work_tokens / PREFILL_TOKENS_PER_MS
    estimate_ms += candidate.waiting * WAITING_MS
    if candidate.cold:
        estimate_ms += COLD_PENALTY_MS
    return estimate_ms


class LeastFirstToken:
    """The least estimated time to first token of two random candidates.

    Candidates without enough free memory come last; ties go to the one
    with more of it.
    """

    def __init__(self, *, rng: random.Random):
        self._rng = rng

    def choose(
        self, *, candidates: tuple[Candidate, ...], tokens: int
    ) -> Candidate:
        """Return the candidate whose first token should come first."""
        drawn = draw(candidates, rng=self._rng)
        return min(
            drawn,
            key=lambda each: (
                load_ratio(each, tokens=tokens) > 1,
                first_token_ms(each, tokens=tokens),
                load_ratio(each, tokens=tokens),
            ),
        )


def build(*, name: str, rng: random.Random) -> Policy:
    """Return the policy of a settings name.

    :raises ValueError: if there is no policy of that name.
    """
    if name == 'random':
        return RandomChoice(rng=rng)
    if name == 'round_robin':
        return RoundRobin()
    if name == 'two_choices':
        return TwoChoices(rng=rng)
    if name == 'least_first_token':
        return LeastFirstToken(rng=rng)
    raise ValueError(
        f'unknown routing policy {name}; allowed: random, round_robin, '
        'two_choices, least_first_token'
    )
