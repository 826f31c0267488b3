"""Which models and adapters the engine is to load, and when.

The configuration in force says what is wanted; what was ordered with
success since the engine's start says what is there. The weight store
limits how often it is asked, and says when to come back.
"""

import enum

import attrs

from shallothinge import clock
from shallothinge.bundles import model as bundles

FIRST_RETRY_MS = 500
LAST_RETRY_MS = 30_000
UNLOAD_DELAY_MS = 10_000


class Order(enum.Enum):
    """Orders to an engine."""

    LOAD_MODEL = 'load_model'
    LOAD_ADAPTER = 'load_adapter'
    UNLOAD_MODEL = 'unload_model'


@attrs.frozen(kw_only=True)
class Step:
    """One order; ``model`` is ``name@version``."""

    order: Order
    model: str
    adapter: str = ''


def wanted_loads(
    *, bundle: bundles.Bundle | None, zone: str
) -> tuple[Step, ...]:
    """Return the loads that a bundle asks of an availability zone."""
    steps = []
    for spec in bundle.models if bundle is not None else ():
        if spec.zones and zone not in spec.zones:
            continue
        name = f'{spec.name}@{spec.version}'
        steps.append(Step(order=Order.LOAD_MODEL, model=name))
        for adapter in spec.adapters:
            steps.append(
                Step(order=Order.LOAD_ADAPTER, model=name, adapter=adapter)
            )
    return tuple(steps)


def replaced_models(
    *, loaded: tuple[str, ...], loads: tuple[Step, ...]
) -> tuple[str, ...]:
    """Return loaded versions of models that are wanted in another."""
    wanted = {step.model for step in loads}
    names = {model.partition('@')[0] for model in wanted}
    return tuple(
        model
        for model in loaded
        if model not in wanted and model.partition('@')[0] in names
    )


class Rollout:
    """Orders that are still to be given to one engine.

    :param initial_models: what the engine has loaded when it starts.
    """

    def __init__(
        self,
        *,
        clock: clock.Clock,
        zone: str,
        initial_models: tuple[str, ...],
    ):
        self._clock = clock
        self._zone = zone
        self._initial_models = initial_models
        self.reset()

    def reset(self) -> None:
        """Begin anew: the engine has restarted."""
        self._done: dict[Step, None] = {
            Step(order=Order.LOAD_MODEL, model=model): None
            for model in self._initial_models
        }
        self._due_ms = 0
        self._retry_ms = FIRST_RETRY_MS
        self._complete_ms = None

    @property
    def models(self) -> tuple[str, ...]:
        """Return ``name@version`` of each model loaded."""
        return tuple(
            step.model for step in self._done if step.order is Order.LOAD_MODEL
        )

    def next_step(
        self, *, bundle: bundles.Bundle | None, in_use: frozenset[str]
    ) -> Step | None:
        """Return the order to give now, or None.

        Versions that were replaced stay loaded for a while, since entries
        may still send requests for them.

        :param in_use: models with running streams; not to be unloaded.
        """
        now_ms = self._clock.now_ms()
        loads = wanted_loads(bundle=bundle, zone=self._zone)
        missing = [step for step in loads if step not in self._done]
        if missing:
            self._complete_ms = None
            return missing[0] if now_ms >= self._due_ms else None
        if self._complete_ms is None:
            self._complete_ms = now_ms
        if now_ms < max(self._due_ms, self._complete_ms + UNLOAD_DELAY_MS):
            return None
        for model in replaced_models(loaded=self.models, loads=loads):
            if model not in in_use:
                return Step(order=Order.UNLOAD_MODEL, model=model)
        return None

    def succeeded(self, step: Step) -> None:
        """Note that the engine carried an order out."""
        self._due_ms = 0
        self._retry_ms = FIRST_RETRY_MS
        if step.order is Order.UNLOAD_MODEL:
            self._forget(step.model)
        else:
            self._done[step] = None

    def failed(self, *, retry_after_ms: int) -> None:
        """Note that an order was refused or got no answer.

        :param retry_after_ms: when to come back, 0 if not told.
        """
        wait_ms = max(retry_after_ms, self._retry_ms)
        self._due_ms = self._clock.now_ms() + wait_ms
        self._retry_ms = min(LAST_RETRY_MS, self._retry_ms * 2)

    def _forget(self, model: str) -> None:
        for step in list(self._done):
            if step.model == model:
                del self._done[step]
