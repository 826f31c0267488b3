"""Tests of calls, which are no streams, whose answers are lost or late."""

import random
import unittest

from shallothinge.gateway.tests import rig
from shallothinge.platform.tests import samples

SEARCH = '/search/1'
BOOKING = '/book/1'
LOGGER = 'shallothinge.gateway.request_log'
# Answers of the sample route take so long, and are overdue after a margin.
USUAL_MS = 60
OVERDUE_MS = 90
LIMIT_MS = 400


def configuration(*, attempts=2, **changes):
    """Return the sample with a safe route beside the unsafe one."""
    fields = samples.configuration()
    search = samples.route(
        name='r-3',
        host='a.example',
        prefix='/search/',
        kind='safe',
        service='desk',
        timeout_ms=LIMIT_MS,
        objective_ms=200,
        attempts=attempts,
    )
    fields['routes'].append({**search, **changes})
    return fields


class OverdueCallTest(unittest.TestCase):
    """A call whose server is silent is sent to a second server in time."""

    def setUp(self):
        self.build()

    def build(self, *, server_count=3, **changes):
        self.rig = rig.Rig(
            configuration=configuration(**changes), server_count=server_count
        )

    @property
    def calls(self):
        return self.rig.caller.calls

    def learn(self, path=SEARCH, *, took_ms=USUAL_MS, count=20):
        """Let the gateway learn how long sound answers take."""
        for _ in range(count):
            self.rig.request(path)
            self.wait(took_ms)
            self.calls[-1].answer(200, body=b'learnt')
        self.wait(100)
        self.calls.clear()

    def wait(self, duration_ms):
        for _ in range(duration_ms // 10):
            self.rig.advance(10)

    def is_avoided(self, call):
        """Return whether other servers are tried before that of a call."""
        server_id = self.rig.server_at(call.address).server_id
        candidates = self.rig.parts.servers.candidates(
            service='desk', tried_ids=frozenset()
        )
        return server_id not in {one.server_id for one in candidates}

    def test_lost_answer_is_replaced_before_the_time_limit(self):
        """Each lost answer ended as ``deadline_exceeded`` before."""
        for learnt, overdue_ms in ((20, OVERDUE_MS), (0, 200)):
            with self.subTest(learnt=learnt):
                self.setUp()
                self.learn(count=learnt)
                exchange = self.rig.request(SEARCH, body=b'same')
                self.wait(overdue_ms - 10)
                self.assertEqual(1, len(self.calls))
                self.wait(10)
                first, second = self.calls
                self.assertNotEqual(first.address, second.address)
                self.assertEqual(b'same', second.body)
                self.assertFalse(first.is_cancelled)
                second.answer(200, body=b'second')
                self.assertEqual(
                    (200, b'second'), (exchange.status, exchange.received)
                )
                self.assertTrue(first.is_cancelled)
                self.assertEqual({}, self.rig.load.loads())

    def test_first_whole_answer_wins(self):
        """An attempt that has only begun its answer may never end it."""
        for winner in (0, 1):
            with self.subTest(winner=winner):
                self.setUp()
                self.learn()
                exchange = self.rig.request(SEARCH)
                self.wait(OVERDUE_MS)
                won, lost = self.calls[winner], self.calls[1 - winner]
                lost.answer(200, body=b'part', ends=False)
                self.assertFalse(won.is_cancelled)
                won.answer(200, body=b'whole')
                self.assertEqual(b'whole', exchange.received)
                self.assertTrue(exchange.is_whole)
                self.assertTrue(lost.is_cancelled)
                lost.listener.on_data(b'late')
                lost.end()
                self.assertEqual(b'whole', exchange.received)

    def test_unsafe_call_is_never_sent_twice(self):
        """A booking that is hedged may be made twice."""
        for learnt in (0, 20):
            with self.subTest(learnt=learnt):
                self.setUp()
                self.learn(BOOKING, count=learnt)
                exchange = self.rig.request(BOOKING)
                self.wait(1600)
                self.assertEqual(1, len(self.calls))
                self.assertEqual(504, exchange.status)

    def test_limits_on_repeats_hold_for_hedges(self):
        """Hedges must not evade the limits that retries have."""

        def spend_budget():
            while self.rig.parts.budget.take():
                pass

        def spend_hedges():
            while self.rig.parts.budget.take_hedge():
                pass
            self.assertTrue(self.rig.parts.budget.has_credit)

        def pause_others():
            address = self.calls[0].address
            for server in self.rig.holder.members.values():
                if server.address != address:
                    self.rig.parts.servers.record_notices(
                        server, is_leaving=False, pause_ms=5000
                    )

        def lose_lease():
            self.rig.holder.is_leased = False

        rows = (
            ({}, spend_budget),
            ({}, spend_hedges),
            ({}, pause_others),
            ({}, lose_lease),
            ({'attempts': 1}, lambda: None),
            ({'server_count': 1}, lambda: None),
        )
        for fields, prepare in rows:
            with self.subTest(prepare=prepare.__name__, **fields):
                self.build(**fields)
                self.learn()
                exchange = self.rig.request(SEARCH)
                prepare()
                self.wait(300)
                self.assertEqual(1, len(self.calls))
                self.calls[0].answer(200, body=b'first')
                self.assertEqual(b'first', exchange.received)

    def test_quarantined_call_is_not_hedged_but_may_be_answered(self):
        """A call that may crash servers must reach no further ones."""
        self.build(server_count=5)
        self.learn()
        exchange = self.rig.request(SEARCH)
        part_ids = self.rig.parts.quarantine
        part_ids.is_quarantined = lambda ids: True
        self.wait(300)
        self.assertEqual(1, len(self.calls))
        self.calls[0].answer(200, body=b'first')
        self.assertEqual(b'first', exchange.received)

    def test_hedge_waits_for_credit_but_not_beyond_its_use(self):
        """A hedge that can't be answered in time takes from failures."""
        for refilled_ms, count in ((150, 2), (350, 1)):
            with self.subTest(refilled_ms=refilled_ms):
                self.setUp()
                self.learn()
                self.rig.request(SEARCH)
                while self.rig.parts.budget.take():
                    pass
                self.wait(refilled_ms)
                for _ in range(20):
                    self.rig.parts.budget.fresh()
                self.wait(30)
                self.assertEqual(count, len(self.calls))

    def test_second_attempt_goes_on_if_the_first_fails(self):
        """A failure must not end a call that another server works on."""

        def refuse(call):
            call.refuse()

        def break_off(call):
            call.fail(was_sent=True)

        def answer_error(call):
            call.answer(500, body=b'oops')

        for fail in (refuse, break_off, answer_error):
            with self.subTest(fail=fail.__name__):
                self.setUp()
                self.learn()
                exchange = self.rig.request(SEARCH)
                self.wait(OVERDUE_MS)
                fail(self.calls[0])
                self.assertEqual(2, len(self.calls))
                self.assertFalse(self.calls[1].is_cancelled)
                self.assertIsNone(exchange.status)
                self.wait(50)
                self.calls[1].answer(200, body=b'second')
                self.assertEqual(b'second', exchange.received)

    def test_first_attempt_goes_on_if_the_second_fails(self):
        self.learn()
        exchange = self.rig.request(SEARCH)
        self.wait(OVERDUE_MS)
        self.calls[1].fail(was_sent=True)
        self.wait(50)
        self.assertEqual(2, len(self.calls))
        self.calls[0].answer(200, body=b'first')
        self.assertEqual(b'first', exchange.received)

    def test_both_attempts_end_at_the_time_limit(self):
        self.learn()
        exchange = self.rig.request(SEARCH)
        self.wait(LIMIT_MS)
        self.assertEqual(504, exchange.status)
        self.assertEqual(
            [True, True], [call.is_cancelled for call in self.calls]
        )

    def test_answer_that_arrives_in_pieces_is_not_overdue(self):
        """A large answer on its way needs no second server."""
        self.learn()
        self.rig.request(SEARCH)
        self.wait(80)
        self.calls[0].answer(200, body=b'a', ends=False)
        self.wait(80)
        self.calls[0].listener.on_data(b'b')
        self.wait(80)
        self.assertEqual(1, len(self.calls))
        self.wait(20)
        self.assertEqual(2, len(self.calls))

    def test_server_that_sends_a_byte_now_and_then_is_replaced(self):
        """Bytes that never make an answer delayed a takeover forever."""
        self.learn()
        self.rig.request(SEARCH)
        self.calls[0].answer(200, body=b'a', ends=False)
        for _ in range(LIMIT_MS // 20 - 1):
            self.wait(20)
            self.calls[0].listener.on_data(b'a')
        self.assertEqual(2, len(self.calls))

    def test_data_of_a_silent_server_ends_the_search_for_another(self):
        self.learn()
        self.rig.request(SEARCH)
        while self.rig.parts.budget.take():
            pass
        self.wait(OVERDUE_MS)
        self.calls[0].answer(200, body=b'a', ends=False)
        for _ in range(20):
            self.rig.parts.budget.fresh()
        self.wait(60)
        self.assertEqual(1, len(self.calls))

    def test_answers_are_read_first_after_a_pause_of_the_process(self):
        """After a pause all calls seemed overdue, though answers were in."""
        self.learn()
        exchange = self.rig.request(SEARCH)
        self.rig.advance(200)
        self.assertEqual(1, len(self.calls))
        self.calls[0].answer(200, body=b'first')
        self.assertEqual(b'first', exchange.received)
        exchange = self.rig.request(SEARCH)
        self.rig.advance(200)
        self.wait(20)
        self.assertEqual(3, len(self.calls))

    def test_silent_server_is_avoided_unless_it_answers_others(self):
        """One slow call among others says nothing of its server."""
        for path in (SEARCH, BOOKING):
            for answers_others in (False, True):
                with self.subTest(path, answers_others=answers_others):
                    self.setUp()
                    self.learn(path)
                    self.rig.advance(2000)
                    self.rig.request(path)
                    slow = self.calls[0]
                    while answers_others:
                        self.rig.request(path)
                        if self.calls[-1].address == slow.address:
                            break
                    self.wait(50)
                    for call in self.calls[1:]:
                        call.answer(200, body=b'ok')
                    self.wait(OVERDUE_MS - 40)
                    self.assertEqual(not answers_others, self.is_avoided(slow))

    def test_silent_server_is_avoided_where_no_time_is_left(self):
        """A hedge in vain takes credit, but the silence is known."""
        self.learn(took_ms=250)
        self.rig.advance(2000)
        exchange = self.rig.request(SEARCH, deadline_ms=300)
        silent = self.calls[0]
        self.wait(270)
        self.assertTrue(self.is_avoided(silent))
        self.wait(40)
        self.assertEqual(1, len(self.calls))
        self.assertEqual(504, exchange.status)

    def test_hedges_are_counted_and_logged_with_what_decided(self):
        self.learn()
        with self.assertLogs(LOGGER) as logged:
            self.rig.request(SEARCH)
            self.wait(OVERDUE_MS)
        overdue = next(
            one for one in logged.records if one.msg == 'answer overdue'
        )
        expected = {
            'silent_ms': OVERDUE_MS,
            'delay_ms': OVERDUE_MS,
            'usual_ms': USUAL_MS,
            'quick_ms': USUAL_MS,
            'answer_count': 20,
            'remaining_ms': LIMIT_MS - OVERDUE_MS,
            'no_takeover': None,
            'has_credit': True,
        }
        for name, value in expected.items():
            self.assertEqual(value, getattr(overdue, name), name)
        metrics = self.rig.parts.process.metrics
        metrics.count_hedge.assert_called_once_with()
        metrics.count_retry.assert_called_once_with()
        self.assertEqual(1, self.rig.parts.budget.retry_count)


class ManyCallsTest(unittest.TestCase):
    """Many calls side by side, of which some answers are lost."""

    STEP_MS = 5
    STEPS = 1500

    def setUp(self):
        self.rig = rig.Rig(configuration=configuration(), server_count=8)
        self.rng = random.Random(11)

    def play(self, *, lost_share, make_duration_ms):
        """Send a call each step, some of whose answers are lost.

        :returns: the exchanges, and how many calls were hedged although their
            first answer was on its way.
        """
        exchanges, due, sound_bodies = [], [], set()
        seen_count = early_count = 0
        for step in range(self.STEPS + 100):
            if step < self.STEPS:
                exchanges.append(self.rig.request(SEARCH, body=b'%d' % step))
            self.rig.advance(self.STEP_MS)
            for call in self.rig.caller.calls[seen_count:]:
                early_count += call.body in sound_bodies
                if self.rng.random() < lost_share:
                    continue
                sound_bodies.add(call.body)
                duration_ms = make_duration_ms()
                due.append((step + duration_ms // self.STEP_MS, call))
            seen_count = len(self.rig.caller.calls)
            for entry in [one for one in due if one[0] <= step]:
                due.remove(entry)
                if not entry[1].is_cancelled:
                    entry[1].answer(200, body=b'ok')
        return exchanges, early_count

    def test_lost_answers_are_replaced_and_few_sound_calls_hedged(self):
        """Callers got ``deadline_exceeded`` for each lost answer."""
        makers = {
            'even': lambda: self.rng.randint(20, 120),
            'long tail': lambda: int(40 * self.rng.lognormvariate(0, 0.5)),
        }
        for name, make in makers.items():
            for lost_share in (0.0, 0.03):
                with self.subTest(name, lost_share=lost_share):
                    self.setUp()
                    exchanges, early_count = self.play(
                        lost_share=lost_share, make_duration_ms=make
                    )
                    failed = [one for one in exchanges if one.status != 200]
                    # Both answers of a call may be lost.
                    allowed = 3 * lost_share**2 * self.STEPS
                    self.assertLessEqual(len(failed), allowed)
                    self.assertLessEqual(early_count, self.STEPS // 20)
                    self.assertLessEqual(
                        self.rig.parts.budget.retry_count,
                        lost_share * 1.3 * self.STEPS + self.STEPS // 20,
                    )
                    self.assertEqual({}, self.rig.load.loads())
