"""What a chat completion is, and what all of an entry's runs share."""

import random

import attrs

from shallothinge import clock as clocks
from shallothinge.admission import classes
from shallothinge.bundles import model
from shallothinge.entry import fleet as fleets
from shallothinge.entry import requests
from shallothinge.leases import holder as holders
from shallothinge.routing import choice
from shallothinge.routing import filters
from shallothinge.routing import retries


@attrs.frozen(kw_only=True)
class ChatJob:
    """A chat completion that was checked against the bundle.

    ``ends_ms`` is the instant of its deadline.
    """

    request_id: str
    workspace: model.WorkspaceSpec
    spec: model.ModelSpec
    request: requests.ChatRequest
    request_class: classes.RequestClass
    ends_ms: int
    is_long: bool

    @property
    def tokens(self) -> int:
        """Return the tokens of prompt and longest answer."""
        return self.request.prompt_tokens + self.request.max_tokens

    @property
    def model_key(self) -> str:
        """Return ``name@version`` of the model."""
        return f'{self.spec.name}@{self.spec.version}'

    @property
    def need(self) -> filters.Requirements:
        """Return what a backend server must have."""
        return filters.Requirements(
            model=self.model_key,
            tokens=self.tokens,
            zones=self.spec.zones,
            priority=self.priority,
        )

    @property
    def priority(self) -> int:
        """Return the priority at the engine; a lower one goes first."""
        return classes.engine_priority(
            request_class=self.request_class, is_long=self.is_long
        )


@attrs.frozen(kw_only=True)
class RunUsage:
    """Tokens that a request has used, as far as is known."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    generated_tokens: int = 0


@attrs.frozen(kw_only=True)
class Environment:
    """What all runs of an entry share."""

    clock: clocks.Clock
    rng: random.Random
    entry_id: str
    holder: holders.LeaseHolder
    fleet: fleets.Fleet
    policy: choice.Policy
    budget: retries.RetryBudget
