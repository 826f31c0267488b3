"""An open-loop schedule of requests, made from a seed."""

from collections.abc import Iterator
import math
import random

import attrs

from shallothinge import clock
from shallothinge.load import profile
from shallothinge.tokens import BYTES_PER_TOKEN

WORDS = ('lease', 'clause', 'tenant', 'bond', 'repair', 'tender', 'site')


@attrs.frozen(kw_only=True)
class PlannedRequest:
    """One request and the instant at which it is sent.

    ``at_ms`` counts from the start of the run.
    """

    number: int
    at_ms: float
    workspace_index: int
    kind: profile.PromptClass
    prompt_tokens: int

    def prompt(self, *, shared_prefix_tokens: int) -> str:
        """Return the prompt's text.

        Prompts of one workspace begin alike and differ after the prefix.
        """
        prefix = _filler(
            label=f'workspace {self.workspace_index} ',
            tokens=min(shared_prefix_tokens, self.prompt_tokens),
        )
        rest = _filler(
            label=f'request {self.number} ',
            tokens=self.prompt_tokens
            - min(shared_prefix_tokens, self.prompt_tokens),
        )
        return prefix + rest


def _filler(*, label: str, tokens: int) -> str:
    size = tokens * BYTES_PER_TOKEN
    unit = label + ' '.join(WORDS) + ' '
    return (unit * (size // len(unit) + 1))[:size]


def plan(
    *,
    callers: profile.Profile,
    rate_per_s: float,
    duration_ms: int,
    seed: int,
) -> Iterator[PlannedRequest]:
    """Yield requests in the order of their instants.

    Each prompt class has its own random stream, so that leaving one class
    out changes no request of the others.

    :param rate_per_s: mean rate of all classes whose shares add up to one.
    """
    arrivals = []
    for kind in callers.prompt_classes:
        rng = random.Random(f'{seed}/{kind.name}')
        rate_per_ms = rate_per_s * kind.share / clock.MS_PER_SECOND
        at_ms = rng.expovariate(rate_per_ms)
        while at_ms < duration_ms:
            arrivals.append((at_ms, kind, _draw(rng, kind, callers)))
            at_ms += rng.expovariate(rate_per_ms)
    arrivals.sort(key=lambda arrival: arrival[0])
    for number, (at_ms, kind, drawn) in enumerate(arrivals):
        prompt_tokens, workspace_index = drawn
        yield PlannedRequest(
            number=number,
            at_ms=at_ms,
            workspace_index=workspace_index,
            kind=kind,
            prompt_tokens=prompt_tokens,
        )


def _draw(
    rng: random.Random, kind: profile.PromptClass, callers: profile.Profile
) -> tuple[int, int]:
    low = math.log(kind.min_prompt_tokens)
    high = math.log(kind.max_prompt_tokens)
    prompt_tokens = round(math.exp(rng.uniform(low, high)))
    weights = callers.workspace_weights
    index = rng.choices(range(len(weights)), weights=weights)[0]
    return prompt_tokens, index
