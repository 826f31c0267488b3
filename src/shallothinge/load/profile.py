"""Profiles of a deployment's callers: who asks for what, and how often."""

import attrs

LONG_PROMPT_TOKENS = 100_000


@attrs.frozen(kw_only=True)
class PromptClass:
    """One kind of prompt: its share of requests, length and deadline.

    Lengths are drawn log-uniformly between the two bounds.
    """

    name: str
    request_class: str
    share: float
    min_prompt_tokens: int
    max_prompt_tokens: int
    answer_tokens: int
    deadline_ms: int


@attrs.frozen(kw_only=True)
class Profile:
    """Callers of one deployment.

    ``workspace_weights`` gives each workspace's share of the requests;
    ``shared_prefix_tokens`` is the length of the system prompt that a
    workspace's requests begin with. ``call_share`` of the requests are
    calls to ``services``.
    """

    name: str
    zones: tuple[str, ...]
    engines: int
    services_engines: int
    workspace_weights: tuple[int, ...]
    prompt_classes: tuple[PromptClass, ...]
    shared_prefix_tokens: int = 1024

    def restricted_to(self, names: tuple[str, ...]) -> 'Profile':
        """Return the same profile with only the named prompt classes.

        The classes keep their absolute rate, so their shares no longer add
        up to one.
        """
        kept = tuple(
            kind for kind in self.prompt_classes if kind.name in names
        )
        return attrs.evolve(self, prompt_classes=kept)

    def without_long_prompts(self) -> 'Profile':
        """Return the same profile less its long prompts."""
        return self.restricted_to(
            tuple(
                kind.name
                for kind in self.prompt_classes
                if kind.max_prompt_tokens <= LONG_PROMPT_TOKENS
            )
        )


SHORT = PromptClass(
    name='1k',
    request_class='interactive',
    share=0.78,
    min_prompt_tokens=1_000,
    max_prompt_tokens=2_000,
    answer_tokens=24,
    deadline_ms=15_000,
)
MEDIUM = PromptClass(
    name='10k',
    request_class='standard',
    share=0.20,
    min_prompt_tokens=5_000,
    max_prompt_tokens=20_000,
    answer_tokens=32,
    deadline_ms=30_000,
)
LONG = PromptClass(
    name='100k',
    request_class='batch',
    share=0.017,
    min_prompt_tokens=100_001,
    max_prompt_tokens=300_000,
    answer_tokens=32,
    deadline_ms=300_000,
)
LONGEST = PromptClass(
    name='1M',
    request_class='batch',
    share=0.003,
    min_prompt_tokens=300_001,
    max_prompt_tokens=1_000_000,
    answer_tokens=32,
    deadline_ms=600_000,
)
LARGE_AND_SMALL = (30, 20, 15, 5, 5, 5, 5, 5, 5, 5)

MAKAZI_BORA = Profile(
    name='makazi-bora',
    zones=('ke-central-a', 'ke-central-b', 'ke-central-c'),
    engines=20,
    services_engines=3,
    workspace_weights=LARGE_AND_SMALL,
    prompt_classes=(SHORT, MEDIUM, LONG, LONGEST),
)
TAN_PHAT = Profile(
    name='tan-phat',
    zones=('hcm-a', 'hcm-b', 'hcm-c'),
    engines=25,
    services_engines=3,
    workspace_weights=LARGE_AND_SMALL,
    prompt_classes=(SHORT, MEDIUM, LONG, LONGEST),
)
PROFILES = {profile.name: profile for profile in (MAKAZI_BORA, TAN_PHAT)}
