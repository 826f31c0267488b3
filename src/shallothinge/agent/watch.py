"""What polls say about an engine, apart from its streams."""

import enum

from shallothinge import clock
from shallothinge.agent import model

FROZEN_MS = 3000


class Change(enum.Enum):
    """What a poll or its failure changed."""

    NONE = 'none'
    STARTED = 'started'
    RESTARTED = 'restarted'
    FROZEN = 'frozen'


class EngineWatch:
    """Whether the engine answers, and which start of it does.

    A long prefill sends no tokens; the engine counts as frozen only when
    polls on other connections get no answer either.
    """

    def __init__(self, *, clock: clock.Clock):
        self._clock = clock
        self._heard_ms = clock.now_ms()
        self._frozen = False
        self._doubted = True
        self._ready = False
        self.incarnation = ''

    def heard(self, health: model.EngineHealth) -> Change:
        """Note an answer."""
        self._heard_ms = self._clock.now_ms()
        self._frozen = False
        self._doubted = False
        self._ready = health.ready
        if health.incarnation == self.incarnation:
            return Change.NONE
        first = not self.incarnation
        self.incarnation = health.incarnation
        return Change.STARTED if first else Change.RESTARTED

    def missed(self) -> Change:
        """Note a poll without an answer."""
        silent_ms = self._clock.now_ms() - self._heard_ms
        if self._frozen or silent_ms < FROZEN_MS:
            return Change.NONE
        self._frozen = True
        return Change.FROZEN

    def doubt(self) -> None:
        """Hold new work until the next answer: a connection broke."""
        self._doubted = True

    def is_serving(self) -> bool:
        """Return whether new work may go to the engine."""
        silent_ms = self._clock.now_ms() - self._heard_ms
        answers = not self._frozen and silent_ms < FROZEN_MS
        return answers and self._ready and not self._doubted
