"""Tests of admission: fairness, limits, starvation and early refusal."""

import unittest

import hypothesis
from hypothesis import strategies as st

from shallothinge import clock
from shallothinge.admission import classes
from shallothinge.admission import queue
from shallothinge.errors import ErrorKind

CAPACITY_TOKENS = 400_000
LONG_TOKENS = 100_000
SHARE_PERCENT = 40
FAR_DEADLINE_MS = 10_000_000
BATCH = classes.RequestClass.BATCH
STANDARD = classes.RequestClass.STANDARD
INTERACTIVE = classes.RequestClass.INTERACTIVE


class QueueTestCase(unittest.TestCase):
    """Sets up a queue on a manual clock."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.queue = self.make_queue()
        self.number = 0

    def make_queue(self, *, max_requests=10_000):
        """Return an empty queue."""
        return queue.AdmissionQueue(
            clock=self.clock,
            limits=queue.QueueLimits(
                max_requests=max_requests,
                long_tokens=LONG_TOKENS,
                long_share_percent=SHARE_PERCENT,
            ),
        )

    def offer(self, tokens, *, workspace='w1', kind=STANDARD, **changes):
        """Offer a request; return its id and the outcome."""
        self.number += 1
        work = queue.Work(
            request_id=f'r{self.number}',
            workspace=workspace,
            request_class=kind,
            tokens=tokens,
            **{'deadline_ms': FAR_DEADLINE_MS, **changes},
        )
        return work.request_id, self.queue.offer(work)

    def take(self):
        """Start the next request; return its work or None."""
        return self.queue.take(capacity_tokens=CAPACITY_TOKENS)

    def take_all(self):
        """Start all work that fits; return it in order."""
        return list(iter(self.take, None))


class ShareTest(QueueTestCase):
    """Fair order among workspaces, classes and sizes."""

    def _served(self, count):
        served = {}
        for _ in range(count):
            work = self.take()
            key = work.workspace, work.request_class
            served[key] = served.get(key, 0) + work.tokens
            self.queue.finished(work.request_id)
        return served

    def test_workspaces_share_by_weight(self):
        for _ in range(300):
            self.offer(1000, workspace='w1', weight=3)
            self.offer(1000, workspace='w2', weight=1)
        served = self._served(200)
        self.assertEqual(150_000, served['w1', STANDARD])
        self.assertEqual(50_000, served['w2', STANDARD])

    def test_a_burst_of_one_workspace_does_not_delay_another(self):
        for _ in range(1000):
            self.offer(1000, workspace='w1')
        late, _ = self.offer(1000, workspace='w2')
        ids = [self.take().request_id for _ in range(2)]
        self.assertIn(late, ids)

    def test_classes_share_by_weight_and_none_starves(self):
        for _ in range(400):
            for kind in classes.RequestClass:
                self.offer(1000, kind=kind)
        served = self._served(210)
        weights = classes.CLASS_WEIGHTS
        batch = served['w1', BATCH]
        self.assertGreater(batch, 0)
        ratio = served['w1', INTERACTIVE] / batch
        self.assertAlmostEqual(weights[INTERACTIVE], ratio, delta=3)

    def test_idle_time_earns_no_credit(self):
        for _ in range(100):
            self.offer(1000, workspace='w1')
        self._served(50)
        for _ in range(100):
            self.offer(1000, workspace='w2')
        served = self._served(20)
        self.assertEqual(10_000, served['w1', STANDARD])

    def test_small_requests_go_before_larger_ones_of_their_workspace(self):
        for _ in range(50):
            self.offer(90_000)
        small, _ = self.offer(1000)
        ids = [work.request_id for work in self.take_all()]
        self.assertIn(small, ids)


class LongTest(QueueTestCase):
    """Sharing of the capacity between long and short prompts."""

    def test_long_prompts_keep_to_their_share(self):
        for _ in range(10):
            self.offer(120_000)
        started = sum(work.tokens for work in self.take_all())
        share = CAPACITY_TOKENS * SHARE_PERCENT // 100
        self.assertLessEqual(started, share)
        self.assertGreater(started, 0)

    def test_short_prompts_do_not_wait_behind_long_ones(self):
        for _ in range(10):
            self.offer(300_000, kind=INTERACTIVE)
        self.take_all()
        short, _ = self.offer(1000, kind=BATCH)
        self.assertEqual(short, self.take().request_id)

    def test_long_prompt_starts_under_constant_short_load(self):
        for _ in range(500):
            self.offer(1000)
        running = self.take_all()
        long, _ = self.offer(1_000_000)
        started = {work.request_id for work in self.take_all()}
        for _ in range(100):
            self.queue.finished(running.pop(0).request_id)
            self.offer(1000)
            fresh = self.take_all()
            running.extend(fresh)
            started.update(work.request_id for work in fresh)
        self.assertIn(long, started)

    def test_long_share_stays_reserved_for_a_requeued_long_prompt(self):
        for _ in range(1000):
            self.offer(1000)
        running = self.take_all()
        long, _ = self.offer(300_000)
        self.assertEqual(long, self.take().request_id)
        self.queue.requeue(long, delay_ms=1000)
        for work in running:
            self.queue.finished(work.request_id)
        started = sum(work.tokens for work in self.take_all())
        share = CAPACITY_TOKENS * SHARE_PERCENT // 100
        self.assertEqual(CAPACITY_TOKENS - share, started)

    def test_work_that_does_not_fit_is_bypassed_only_up_to_a_bound(self):
        for _ in range(39):
            self.offer(10_000)
        running = [work.request_id for work in self.take_all()]
        large, _ = self.offer(90_000)
        started = []
        for _ in range(200):
            self.offer(10_000, workspace='w2')
            self.queue.finished(running.pop(0))
            fresh = [work.request_id for work in self.take_all()]
            started.extend(fresh)
            running.extend(fresh)
            if large in started:
                break
        self.assertIn(large, started)


class RefusalTest(QueueTestCase):
    """Refusal of requests, deadlines and retry delays."""

    def test_full_queue(self):
        self.queue = self.make_queue(max_requests=2)
        for _ in range(2):
            self.offer(1000)
        _, outcome = self.offer(1000)
        self.assertEqual(ErrorKind.OVERLOADED, outcome.kind)
        self.assertGreater(outcome.retry_after_ms, 0)

    def _measure_rate(self):
        """Finish 100 tokens per millisecond while work waits."""
        for _ in range(1000):
            self.offer(10_000)
        running = self.take_all()
        for _ in range(20):
            self.clock.advance(duration_ms=100)
            self.queue.finished(running.pop(0).request_id)
            running.extend(self.take_all())

    def test_deadline_that_can_not_be_met_is_refused_at_once(self):
        self._measure_rate()
        now_ms = self.clock.now_ms()
        table = (
            ('too soon', 1000, True),
            ('late enough', FAR_DEADLINE_MS, False),
        )
        for name, remaining_ms, refused in table:
            with self.subTest(name):
                _, outcome = self.offer(
                    10_000, deadline_ms=now_ms + remaining_ms
                )
                kind = getattr(outcome, 'kind', None)
                expected = ErrorKind.DEADLINE_UNREACHABLE if refused else None
                self.assertEqual(expected, kind)

    def test_backlog_of_one_workspace_does_not_refuse_another(self):
        self._measure_rate()
        deadline_ms = self.clock.now_ms() + 1000
        _, outcome = self.offer(1000, workspace='w2', deadline_ms=deadline_ms)
        self.assertIsInstance(outcome, queue.Admitted)

    def test_idle_queue_refuses_nothing_for_its_deadline(self):
        for _ in range(50):
            self.offer(1000)
            self.queue.finished(self.take().request_id)
            self.clock.advance(duration_ms=1000)
        _, outcome = self.offer(1000, deadline_ms=self.clock.now_ms() + 1)
        self.assertIsInstance(outcome, queue.Admitted)

    def test_work_past_its_deadline_is_not_started(self):
        self.offer(1000, deadline_ms=10)
        self.clock.advance(duration_ms=10)
        self.assertIsNone(self.take())

    def test_work_put_back_waits_for_its_delay(self):
        self.offer(1000)
        work = self.take()
        self.queue.requeue(work.request_id, delay_ms=100)
        self.assertIsNone(self.take())
        self.clock.advance(duration_ms=100)
        self.assertEqual(work, self.take())


class AnyOrderTest(QueueTestCase):
    """Limits hold for random arrivals and completions."""

    @hypothesis.settings(max_examples=150, derandomize=True, deadline=None)
    @hypothesis.given(data=st.data())
    def test_bounds_hold_and_everything_starts_in_the_end(self, data):
        self.setUp()
        running = {}
        started = set()
        offered = set()
        share = CAPACITY_TOKENS * SHARE_PERCENT // 100
        sizes = st.sampled_from((500, 3000, 20_000, 90_000, 150_000, 900_000))
        for _ in range(data.draw(st.integers(1, 60))):
            if data.draw(st.booleans()):
                request_id, _ = self.offer(
                    data.draw(sizes),
                    workspace=data.draw(st.sampled_from(('w1', 'w2'))),
                    kind=data.draw(
                        st.sampled_from(list(classes.RequestClass))
                    ),
                )
                offered.add(request_id)
            elif running:
                ended = data.draw(st.sampled_from(sorted(running)))
                del running[ended]
                self.queue.finished(ended)
            for work in self.take_all():
                running[work.request_id] = work
                started.add(work.request_id)
            self._check_bounds(running, share)
        self._drain(running, started)
        self.assertEqual(offered, started)
        self.assertEqual(0, self.queue.running_tokens)

    def _check_bounds(self, running, share):
        sizes = [work.tokens for work in running.values()]
        long = [size for size in sizes if size > LONG_TOKENS]
        short = [size for size in sizes if size <= LONG_TOKENS]
        if len(long) > 1:
            self.assertLessEqual(sum(long), share)
        if len(short) > 1:
            self.assertLessEqual(sum(short), CAPACITY_TOKENS)

    def _drain(self, running, started):
        while running:
            ended, _ = running.popitem()
            self.queue.finished(ended)
            for work in self.take_all():
                running[work.request_id] = work
                started.add(work.request_id)
