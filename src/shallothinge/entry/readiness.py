"""Whether an entry may be given requests by the balancer."""

from collections.abc import Callable

from shallothinge import clock as clocks
from shallothinge.errors import ErrorKind
from shallothinge.leases import holder as holders
from shallothinge.routing import filters

LEARN_MS = 5000


class Readiness:
    """Decides what ``/readyz`` answers.

    A new entry learns of backend servers only after its lease. It waits
    until it has heard of one for each model and service of the bundle, but
    no longer than ``LEARN_MS``, since one may be missing altogether.

    :param knows: returns whether a backend server offers what is needed.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        holder: holders.LeaseHolder,
        knows: Callable[[filters.Requirements], bool],
    ):
        self._clock = clock
        self._holder = holder
        self._knows = knows
        self._leased_ms: int | None = None
        self._has_learned = False
        self.is_stopping = False

    def refusal(self) -> ErrorKind | None:
        """Return why the entry is not ready, or None if it is."""
        if self.is_stopping:
            return ErrorKind.STOPPING
        if not self._holder.is_valid():
            return ErrorKind.NO_LEASE
        if not self._learn():
            return ErrorKind.NO_BACKEND_SERVER
        return None

    def _learn(self) -> bool:
        now_ms = self._clock.now_ms()
        if self._leased_ms is None:
            self._leased_ms = now_ms
        waited_ms = now_ms - self._leased_ms
        if waited_ms >= LEARN_MS or self._knows_all():
            self._has_learned = True
        return self._has_learned

    def _knows_all(self) -> bool:
        bundle = self._holder.config.bundle
        if bundle is None:
            return False
        needs = [
            filters.Requirements(model=f'{spec.name}@{spec.version}')
            for spec in bundle.models
        ]
        needs += [
            filters.Requirements(service=spec.name) for spec in bundle.services
        ]
        return all(self._knows(need) for need in needs)
