"""Tests of the gate's shares for short and long work."""

import unittest

from shallothinge import clock
from shallothinge.agent import coldlimit
from shallothinge.agent import gate
from shallothinge.errors import ErrorKind

MEMORY_TOKENS = 100_000
STREAMS = 10


class GateTest(unittest.TestCase):
    """One gate before a warm engine."""

    def setUp(self):
        limit = coldlimit.ColdLimit(
            clock=clock.ManualClock(),
            cold_tokens=MEMORY_TOKENS,
            full_tokens=MEMORY_TOKENS,
            full_streams=STREAMS,
        )
        while not limit.is_full:
            limit.finished(tokens=MEMORY_TOKENS)
        self.gate = gate.Gate(limit=limit, memory_tokens=MEMORY_TOKENS)

    def admit(self, key, tokens):
        """Return None if work is admitted, else the kind of refusal."""
        answer = self.gate.admit(key=key, work=gate.Work(tokens=tokens))
        return getattr(answer, 'kind', None)

    def test_admissions(self):
        rows = (
            ('alone up to all memory', [MEMORY_TOKENS], None),
            ('more than memory', [100_001], ErrorKind.MEMORY_FULL),
            ('middle one beside long', [80_000, 15_000], 'memory_full'),
            ('short one beside long', [80_000, 5000, 8000], None),
            ('two long ones beyond the share', [40_000, 30_000], 'overloaded'),
            ('two long ones within the share', [30_000, 29_000], None),
        )
        for name, sizes, expected in rows:
            with self.subTest(name):
                self.setUp()
                kinds = [
                    self.admit(key, size) for key, size in enumerate(sizes)
                ]
                if isinstance(expected, str):
                    expected = ErrorKind(expected)
                self.assertEqual(expected, kinds[-1])
                self.assertEqual([None] * (len(sizes) - 1), kinds[:-1])

    def test_last_stream_is_kept_for_short_work(self):
        for key in range(STREAMS - 1):
            self.assertIsNone(self.admit(key, 9000))
        self.assertEqual(ErrorKind.OVERLOADED, self.admit('middle', 9000))
        self.assertIsNone(self.admit('short', 1000))

    def test_careful_admission_keeps_to_the_cold_limit(self):
        limit = coldlimit.ColdLimit(
            clock=clock.ManualClock(),
            cold_tokens=8000,
            full_tokens=MEMORY_TOKENS,
            full_streams=STREAMS,
        )
        while not limit.is_full:
            limit.finished(tokens=MEMORY_TOKENS)
        careful = gate.Gate(limit=limit, memory_tokens=MEMORY_TOKENS)
        rows = ((8000, True, None), (1, True, 'cold_limit'), (1, False, None))
        for key, (tokens, is_careful, expected) in enumerate(rows):
            answer = careful.admit(
                key=key, work=gate.Work(tokens=tokens), careful=is_careful
            )
            kind = getattr(answer, 'kind', None)
            self.assertEqual(expected, kind and kind.value)

    def test_release_gives_everything_back(self):
        self.admit('a', 50_000)
        self.gate.release(key='a')
        self.gate.release(key='a')
        self.assertEqual(0, self.gate.held_tokens)
        self.assertIsNone(self.admit('b', MEMORY_TOKENS))

    def test_reservations_count(self):
        self.gate.set_reserved(tokens=90_000)
        self.assertEqual(ErrorKind.MEMORY_FULL, self.admit('a', 10_001))
        self.assertIsInstance(
            self.gate.may_reserve(tokens=10_000), gate.Admitted
        )
        self.assertIsInstance(
            self.gate.may_reserve(tokens=10_001), gate.Refused
        )
