"""Parts against which crashes suffice, until one of them is judged."""

from collections.abc import Callable
from collections.abc import Iterable

import attrs

from shallothinge import clock as clocks
from shallothinge.quarantine import blame as blames
from shallothinge.quarantine import evidence as evidences
from shallothinge.quarantine import suspicion as suspicions

# A crash is reported by several gateways. The parts of all its requests have
# to be known before one of them is blamed.
SETTLE_MS = 50


@attrs.frozen(kw_only=True)
class Verdict:
    """The part to quarantine, and requests to judge once more after that.

    These may be to blame for other crashes.
    """

    culprit: suspicions.Suspicion
    other_request_ids: tuple[str, ...]


class Suspects:
    """Collects suspects and judges them when the evidence is settled.

    :param call_later: called when ``judge`` is to be called in ``SETTLE_MS``.
    """

    def __init__(
        self,
        *,
        clock: clocks.Clock,
        evidence: evidences.Evidence,
        blame: blames.Blame,
        call_later: Callable[[], None],
    ):
        self._clock = clock
        self._evidence = evidence
        self._blame = blame
        self._call_later = call_later
        self._part_ids: dict[str, None] = {}
        self._judge_at_ms = 0

    def wait_ms(self, part_ids: Iterable[str]) -> int:
        """Return the time until a verdict on some parts, 0 if none is due."""
        if self._part_ids.keys().isdisjoint(part_ids):
            return 0
        return max(1, self._judge_at_ms - self._clock.now_ms())

    def add(self, part_ids: Iterable[str]) -> None:
        """Judge soon if the crashes suffice to blame one of some parts."""
        suspected = [
            one.part_id for one in self._blame.find_suspicions(part_ids)
        ]
        if suspected and not self._part_ids:
            self._judge_later()
        self._part_ids.update(dict.fromkeys(suspected))

    def judge(self) -> Verdict | None:
        """Return the verdict if the evidence still suffices for one.

        :returns: None if there is none, or not yet.
        """
        found = self._blame.find_suspicions(self._part_ids)
        worst = self._blame.find_culprit(found)
        if worst is not None and not self._is_settled(worst):
            self._judge_later()
            return None
        self._part_ids.clear()
        if worst is None:
            return None
        return Verdict(
            culprit=worst,
            other_request_ids=tuple(
                one.part_id
                for one in found
                if one is not worst and one.is_of_request
            ),
        )

    def _is_settled(self, suspicion: suspicions.Suspicion) -> bool:
        """Return whether crashes that may be refuted have had their time.

        That is while servers reset connections and go on, and for crashes
        that suffice only if those at one moment count apart.
        """
        now_ms = self._clock.now_ms()
        if not suspicion.is_settled(now_ms):
            return False
        oldest_ms = now_ms - evidences.REFUTE_MS
        return not self._evidence.has_refuted or suspicion.is_enough_before(
            oldest_ms
        )

    def _judge_later(self) -> None:
        self._judge_at_ms = self._clock.now_ms() + SETTLE_MS
        self._call_later()
