"""Tests of the stand-in engine's core."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies

from shallothinge import clock as clocks
from shallothinge import tokens
from shallothinge.standin import answers
from shallothinge.standin import batch
from shallothinge.standin import engine as engines
from shallothinge.standin import model

STEP_MS = 10
BLOCK_TEXT = 'x' * tokens.BLOCK_BYTES


class EngineTest(unittest.TestCase):
    """One engine, stepped by hand."""

    def setUp(self):
        self.clock = clocks.ManualClock()

    def make(self, **options):
        numbers = random.Random(1)
        return engines.Engine(
            clock=self.clock,
            options=model.EngineOptions(**options),
            make_incarnation=lambda: str(numbers.random()),
        )

    def start(self, engine, request_id, prompt='short', **fields):
        return engine.start(
            model.CompletionRequest(
                request_id=request_id,
                model='small@1',
                prompt=prompt,
                **fields,
            )
        )

    def run_until_idle(self, engine, *, most_steps=10_000):
        for _ in range(most_steps):
            if engine.idle:
                return
            self.clock.advance(duration_ms=STEP_MS)
            engine.step()
        self.fail('the engine did not become idle')

    def assert_refused(self, kind, function, *args, **kwargs):
        with self.assertRaises(model.EngineRefused) as caught:
            function(*args, **kwargs)
        self.assertIs(kind, caught.exception.kind)

    def test_answer_follows_from_prompt(self):
        engine = self.make()
        stream = self.start(engine, 'r1', prompt='repair?', max_tokens=5)
        self.run_until_idle(engine)
        wanted = [answers.expected_token('repair?', n) for n in range(5)]
        self.assertEqual(wanted, stream.generated)
        self.assertEqual('length', stream.finish_reason)
        self.assertEqual(0, engine.memory.held_tokens)

    def test_continuation_goes_on_after_delivered_tokens(self):
        engine = self.make()
        delivered = tuple(answers.expected_token('p', n) for n in range(3))
        stream = self.start(
            engine, 'r1', prompt='p', delivered=delivered, max_tokens=5
        )
        self.run_until_idle(engine)
        wanted = [answers.expected_token('p', n) for n in (3, 4)]
        self.assertEqual(wanted, stream.generated)

    def test_lower_priority_number_is_prefilled_first(self):
        engine = self.make(prefill_tokens_per_s=100_000)
        long = self.start(
            engine, 'long', prompt=BLOCK_TEXT * 50, priority=5, max_tokens=1
        )
        engine.step()
        short = self.start(engine, 'short', priority=0, max_tokens=1)
        for _ in range(2):
            engine.step()
        self.assertTrue(short.finish_reason)
        self.assertGreater(long.prefill_left_tokens, 0)

    def test_second_prompt_with_same_prefix_uses_cache(self):
        engine = self.make()
        self.start(engine, 'r1', prompt=BLOCK_TEXT * 3, max_tokens=1)
        self.run_until_idle(engine)
        again = self.start(engine, 'r2', prompt=BLOCK_TEXT * 4, max_tokens=1)
        self.assertEqual(3 * tokens.BLOCK_TOKENS, again.cached_tokens)

    def test_stream_waits_for_memory(self):
        engine = self.make(memory_tokens=3000)
        self.start(engine, 'r1', prompt=BLOCK_TEXT * 2, max_tokens=1)
        second = self.start(engine, 'r2', prompt='y' * 8192, max_tokens=1)
        self.assertIs(batch.StreamState.WAITING, second.state)
        self.run_until_idle(engine)
        self.assertTrue(second.finish_reason)

    def test_prompt_above_memory_is_refused(self):
        engine = self.make(memory_tokens=1000)
        self.assert_refused(
            model.Refusal.MEMORY_FULL, self.start, engine, 'r1', BLOCK_TEXT
        )

    def test_spanning_prompt_needs_parts_that_cover_it(self):
        engine = self.make(memory_tokens=2000, own_url='http://a')
        engine.reserve(reservation_id='v1', reserved_tokens=1000)
        part = model.Part(reservation_id='v1', url='http://a', tokens=1000)
        other = model.Part(reservation_id='v2', url='http://b', tokens=2000)
        prompt = BLOCK_TEXT * 2
        self.assert_refused(
            model.Refusal.BAD_REQUEST,
            self.start,
            engine,
            'r1',
            prompt,
            parts=(part,),
        )
        stream = self.start(
            engine, 'r1', prompt, parts=(part, other), max_tokens=1
        )
        self.run_until_idle(engine)
        self.assertTrue(stream.finish_reason)
        self.assertTrue(engine.release_reservation('v1'))
        self.assertEqual(0, engine.memory.held_tokens)

    def test_released_reservation_ends_its_stream(self):
        engine = self.make(memory_tokens=2000, own_url='http://a')
        engine.reserve(reservation_id='v1', reserved_tokens=1000)
        part = model.Part(reservation_id='v1', url='http://a', tokens=1000)
        self.start(engine, 'r1', parts=(part,))
        engine.release_reservation('v1')
        self.assertEqual({}, engine.streams)

    def test_cold_engine_falls_over_above_its_limit(self):
        engine = self.make(starts_cold=True, cold_limit_tokens=1000)
        before = engine.incarnation
        self.start(engine, 'r1', max_tokens=100)
        self.assert_refused(
            model.Refusal.NOT_READY, self.start, engine, 'r2', BLOCK_TEXT
        )
        self.assertNotEqual(before, engine.incarnation)
        self.assertEqual({}, engine.streams)
        self.assertEqual(1, engine.counters.falls)
        self.assertTrue(engine.cold)

    def test_finished_work_warms_engine(self):
        engine = self.make(starts_cold=True, warm_up_tokens=1000)
        self.start(engine, 'r1', BLOCK_TEXT, max_tokens=1)
        self.run_until_idle(engine)
        self.assertFalse(engine.cold)

    def test_stale_fence(self):
        for checks in (True, False):
            with self.subTest(checks=checks):
                engine = self.make(checks_fencing=checks)
                self.start(engine, 'r1', fence=7)
                if checks:
                    self.assert_refused(
                        model.Refusal.STALE_FENCE,
                        self.start,
                        engine,
                        'r2',
                        fence=6,
                    )
                else:
                    self.start(engine, 'r2', fence=6)

    def test_load_report_lags(self):
        engine = self.make(load_lag_ms=100)
        self.start(engine, 'r1', max_tokens=100)
        self.assertEqual(0, engine.load().running)
        self.clock.advance(duration_ms=100)
        self.assertEqual(1, engine.load().running)

    def test_cache_events_come_late_and_with_gaps(self):
        engine = self.make(event_lag_ms=50, event_gap_every=2)
        self.start(engine, 'r1', prompt=BLOCK_TEXT * 4, max_tokens=1)
        self.run_until_idle(engine)
        self.assertEqual((), engine.events.after(0))
        self.clock.advance(duration_ms=50)
        seen = [event.sequence for event in engine.events.after(0)]
        self.assertEqual([1, 3], seen)
        self.assertEqual(4, engine.events.sequence)

    def test_export_holds_memory_until_released(self):
        engine = self.make()
        self.start(engine, 'r1', prompt=BLOCK_TEXT * 2, max_tokens=1)
        self.run_until_idle(engine)
        engine.export(request_id='r1', export_id='x1')
        self.assertEqual(2048, engine.memory.held_tokens)
        self.assertTrue(engine.release_export('x1'))
        self.assertEqual(0, engine.memory.held_tokens)

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(('start', 'cancel', 'step', 'hold')),
                strategies.integers(0, 9),
                strategies.integers(0, 6),
            ),
            max_size=60,
        )
    )
    def test_memory_never_exceeds_capacity_and_comes_back(self, actions):
        engine = self.make(memory_tokens=6000, own_url='http://a')
        for action, number, blocks in actions:
            try:
                self.act(engine, action, str(number), blocks)
            except model.EngineRefused:
                pass
            cached = len(engine.memory.cached_blocks) * tokens.BLOCK_TOKENS
            self.assertLessEqual(engine.memory.held_tokens, 6000)
            self.assertLessEqual(cached, 6000)
        for reservation_id in tuple(engine.reservations):
            engine.release_reservation(reservation_id)
        self.run_until_idle(engine)
        self.assertEqual(0, engine.memory.held_tokens)

    def act(self, engine, action, name, blocks):
        if action == 'start':
            prompt = BLOCK_TEXT * blocks + name
            self.start(engine, name, prompt=prompt, max_tokens=20)
        elif action == 'cancel':
            engine.cancel(name)
        elif action == 'hold':
            engine.reserve(reservation_id=name, reserved_tokens=blocks * 500)
        else:
            engine.step()
