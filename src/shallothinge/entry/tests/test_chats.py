"""Tests of chat completions through faults, in simulated time."""

import unittest

import hypothesis
from hypothesis import strategies as st

from shallothinge import errors
from shallothinge.entry.tests import rig as rigs
from shallothinge.errors import ErrorKind
from shallothinge.reservations import messages as reservations
from shallothinge.streams import messages

MAX_DEADLINE_MS = 8000


class RunTest(unittest.TestCase):
    """Single requests."""

    def setUp(self):
        self.rig = rigs.Rig()

    def _start_one(self, **request):
        request_id = self.rig.submit(**request)
        ((link, start),) = self.rig.starts()
        return self.rig.sinks[request_id], link, start

    def _error(self, sink):
        (final,) = sink.finals
        return final

    def test_replaced_connection_resumes_from_the_next_token(self):
        sink, link, start = self._start_one()
        link.on_message(rigs.accept(start))
        link.on_message(rigs.frame(start, 0))
        link.on_reset()
        (resume,) = link.take(messages.ResumeStream)
        self.assertEqual(1, resume.next_offset)
        for offset in (0, 1, 2, 3):
            link.on_message(rigs.frame(start, offset))
        link.on_message(rigs.finish(start))
        self.assertEqual(['0', '1', '2', '3'], sink.parts)

    def test_lost_last_frames_are_asked_for_again(self):
        sink, link, start = self._start_one()
        link.on_message(rigs.accept(start))
        link.on_message(rigs.frame(start, 0))
        self.rig.advance(2500)
        (resume,) = link.take(messages.ResumeStream)
        self.assertEqual(1, resume.next_offset)
        self.assertEqual([], sink.finals)

    def test_silent_agent_is_given_up_and_another_continues(self):
        sink, link, start = self._start_one(deadline_ms=60_000)
        link.on_message(rigs.accept(start))
        link.on_message(rigs.frame(start, 0))
        link.connected = False
        self.rig.advance(8000)
        ((other, second),) = self.rig.starts()
        self.assertIsNot(link, other)
        self.assertEqual(('0',), second.delivered)
        for offset in (1, 2, 3):
            other.on_message(rigs.frame(second, offset))
        other.on_message(rigs.finish(second))
        self.assertEqual(['0', '1', '2', '3'], sink.parts)

    def test_frames_of_a_given_up_agent_are_dropped(self):
        sink, link, start = self._start_one(deadline_ms=60_000)
        link.on_message(rigs.accept(start))
        link.on_message(rigs.fail(start, 0))
        self.rig.advance(3000)
        ((other, second),) = self.rig.starts()
        link.on_message(rigs.frame(start, 0))
        link.on_message(rigs.finish(start))
        self.assertEqual([], sink.parts)
        self.assertEqual([], sink.finals)
        self.assertEqual(2, second.attempt)

    def test_caller_that_leaves_frees_the_engine(self):
        request_id = self.rig.submit()
        ((link, start),) = self.rig.starts()
        link.on_message(rigs.accept(start))
        self.rig.chats.runs[request_id].caller_left()
        self.assertEqual(1, len(link.take(messages.CancelStream)))
        self.rig.fleet.announce_owned()
        (owned,) = link.take(messages.StreamsOwned)
        self.assertEqual((), owned.request_ids)

    def test_deadline_answers_at_once_and_truthfully(self):
        table = (
            ('unanswered', None, errors.WorkState.MAY_HAVE_RUN),
            ('refused', rigs.refuse, errors.WorkState.NOT_RUN),
            ('accepted', rigs.accept, errors.WorkState.MAY_HAVE_RUN),
        )
        for name, answer, work_state in table:
            with self.subTest(name):
                self.setUp()
                request_id = self.rig.submit(deadline_ms=1000)
                sink = self.rig.sinks[request_id]
                while not sink.finals:
                    for link, start in self.rig.starts():
                        if answer is not None:
                            link.on_message(answer(start))
                    self.rig.advance(1)
                self.assertEqual(
                    work_state, self._error(sink).answer.work_state
                )
                self.assertLessEqual(sink.ended_ms, 1000)

    def test_without_servers_a_request_is_refused_at_once(self):
        self.rig = rigs.Rig(servers=0)
        request_id = self.rig.submit()
        error = self._error(self.rig.sinks[request_id])
        self.assertEqual(ErrorKind.NO_BACKEND_SERVER, error.kind)

    def test_fleet_that_refuses_everything_gets_few_messages(self):
        """Gate refusals go to few servers at once and then back off."""
        self.rig = rigs.Rig(servers=20)
        for _ in range(20):
            self.rig.submit(deadline_ms=5000)
        sent = 0
        for _ in range(100):
            for link, start in self.rig.starts():
                sent += 1
                link.on_message(rigs.refuse(start, ErrorKind.ZONE_OUT))
            self.rig.advance(50)
        self.assertLess(sent, 20 * 60)

    def test_failed_engines_make_no_storm_of_retries(self):
        self.rig = rigs.Rig(servers=20)
        sent = fresh = 0
        for _ in range(200):
            self.rig.submit(deadline_ms=60_000)
            fresh += 1
            for link, start in self.rig.starts():
                sent += 1
                link.on_message(rigs.accept(start))
                link.on_message(rigs.fail(start, 0))
            self.rig.advance(50)
        self.assertLessEqual(self.rig.budget.retry_count, 20 + fresh / 10)
        self.assertLessEqual(sent, fresh + self.rig.budget.retry_count)


class SpanTest(unittest.TestCase):
    """Prompts above one server's memory."""

    def setUp(self):
        self.rig = rigs.Rig(servers=4)
        self.request_id = self.rig.submit(tokens=300_000, deadline_ms=60_000)

    def _reserve(self):
        for _ in range(4):
            self.rig.reserve_all()

    def _released(self):
        return sum(
            len(link.take(reservations.ReleaseMemory))
            for link in self.rig.links.values()
        )

    def test_prompt_starts_on_the_first_server_with_all_parts(self):
        self._reserve()
        ((link, start),) = self.rig.starts()
        self.assertIs(self.rig.links[start.span[0].server_id], link)
        self.assertGreaterEqual(
            sum(part.tokens for part in start.span), 300_004
        )
        ids = [part.server_id for part in start.span]
        self.assertEqual(sorted(ids), ids)
        self.assertEqual('http://' + ids[1], start.span[1].url)

    def test_every_part_is_released_at_the_end(self):
        self._reserve()
        ((link, start),) = self.rig.starts()
        link.on_message(rigs.accept(start))
        for offset in range(4):
            link.on_message(rigs.frame(start, offset))
        link.on_message(rigs.finish(start))
        self.assertEqual(len(start.span), self._released())
        self.assertEqual(1, len(self.rig.sinks[self.request_id].finals))

    def test_holds_are_named_to_each_agent_while_they_last(self):
        self._reserve()
        ((_, start),) = self.rig.starts()
        self.rig.fleet.announce_owned()
        for part in start.span:
            link = self.rig.links[part.server_id]
            (owned,) = link.take(messages.StreamsOwned)
            hold_id = part.reservation_id.rpartition('.')[0]
            self.assertIn(hold_id, owned.request_ids)

    def test_lost_server_of_a_part_releases_all_and_tries_again(self):
        self._reserve()
        ((link, start),) = self.rig.starts()
        link.on_message(rigs.accept(start))
        lost = self.rig.links[start.span[1].server_id]
        lost.connected = False
        self.rig.advance(6000)
        self.assertGreaterEqual(self._released(), len(start.span) - 1)
        lost.connected = True
        for _ in range(20):
            self._reserve()
            self.rig.advance(250)
        ((_, second),) = self.rig.starts()
        self.assertEqual(2, second.attempt)

    def test_prompt_above_the_fleet_is_refused_at_once(self):
        request_id = self.rig.submit(tokens=400_000)
        (error,) = self.rig.sinks[request_id].finals
        self.assertEqual(ErrorKind.PROMPT_TOO_LONG, error.kind)

    def test_deadline_while_reserving_releases_what_is_held(self):
        self.rig.reserve_all()
        self.rig.advance(60_000)
        (error,) = self.rig.sinks[self.request_id].finals
        self.assertEqual(
            errors.WorkState.NOT_RUN, errors.ANSWERS[error.kind].work_state
        )
        self.assertEqual([], self._held())

    def _held(self):
        return [
            hold
            for connection in self.rig.fleet.connections.values()
            for hold in connection.in_flight
        ]


class AnyFaultTest(unittest.TestCase):
    """Random requests, answers and faults."""

    @hypothesis.settings(max_examples=150, derandomize=True, deadline=None)
    @hypothesis.given(data=st.data())
    def test_each_request_gets_one_true_final_answer_in_time(self, data):
        rig = rigs.Rig(seed=data.draw(st.integers(0, 9)))
        self.live = []
        self.ran = set()
        for _ in range(data.draw(st.integers(1, 30))):
            self._event(rig, data)
            for link, start in rig.starts():
                self.live.append([link, start, len(start.delivered)])
        rig.advance(MAX_DEADLINE_MS + 1)
        for request_id, sink in rig.sinks.items():
            self._check(rig.jobs[request_id], sink)
        self.assertEqual({}, rig.chats.runs)
        for connection in rig.fleet.connections.values():
            self.assertEqual({}, connection.in_flight)

    def _event(self, rig, data):
        event = data.draw(
            st.sampled_from(
                ('submit', 'agent', 'agent', 'agent', 'time', 'link')
            )
        )
        if event == 'submit':
            rig.submit(
                tokens=data.draw(st.sampled_from((100, 50_000))),
                deadline_ms=data.draw(st.integers(1, MAX_DEADLINE_MS)),
            )
        elif event == 'time':
            rig.advance(data.draw(st.integers(1, 3000)))
        elif event == 'link':
            link = data.draw(st.sampled_from(sorted(rig.links)))
            link = rig.links[link]
            link.connected = not link.connected
            if link.connected:
                link.on_reset()
        elif self.live:
            self._agent_event(data)

    def _agent_event(self, data):
        entry = data.draw(st.sampled_from(self.live))
        link, start, offset = entry
        event = data.draw(
            st.sampled_from(
                ('accept', 'refuse', 'frame', 'frame', 'finish', 'fail')
            )
        )
        if event == 'refuse':
            if (start.request_id, start.attempt) not in self.ran:
                link.on_message(rigs.refuse(start))
                self.live.remove(entry)
            return
        self.ran.add((start.request_id, start.attempt))
        if event == 'accept':
            link.on_message(rigs.accept(start))
        elif event == 'frame' and offset < start.max_tokens:
            link.on_message(rigs.frame(start, offset))
            entry[2] += 1
        elif event == 'finish' and offset == start.max_tokens:
            link.on_message(rigs.finish(start))
        elif event == 'fail':
            link.on_message(rigs.fail(start, offset))
            self.live.remove(entry)

    def _check(self, job, sink):
        self.assertEqual(1, len(sink.finals))
        self.assertLessEqual(sink.ended_ms, job.ends_ms)
        (final,) = sink.finals
        expected = [str(n) for n in range(job.request.max_tokens)]
        self.assertEqual(expected[: len(sink.parts)], sink.parts)
        if isinstance(final, messages.StreamFinished):
            self.assertEqual(expected, sink.parts)
        elif final.answer.work_state is errors.WorkState.NOT_RUN:
            ran = {request_id for request_id, _ in self.ran}
            self.assertNotIn(job.request_id, ran)
            self.assertEqual([], sink.parts)
