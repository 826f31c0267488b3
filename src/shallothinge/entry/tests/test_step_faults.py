"""Tests that exceptions while a chat is served end in an answer."""

import types
import unittest
from unittest import mock

from shallothinge.entry import chat_start
from shallothinge.entry import chats
from shallothinge.entry import fleet
from shallothinge.entry import outcomes
from shallothinge.entry.tests import rig as rigs
from shallothinge.errors import ErrorKind
from shallothinge.routing import retries
from shallothinge.streams import messages


class Spending:
    """Keeps what waits for an allowance, for a test to answer."""

    def __init__(self):
        self.then = None
        self.given_back = []

    def reserve(self, *, then, **_):
        """Let the request wait."""
        self.then = then

    def settle_unused(self, *, request_id, workspace):
        """Note a request that gave its tokens back."""
        self.given_back.append(request_id)


class HandOverTest(unittest.TestCase):
    """A chat is handed over once its tokens are set aside."""

    def begin(self):
        """Start a chat that waits for its allowance."""
        self.rig = rigs.Rig()
        self.spending = Spending()
        self.sink = rigs.RecordingSink(clock=self.rig.clock)
        start = chat_start.ChatStart(
            job=self.rig.make_job('r0'),
            sink=self.sink,
            services=types.SimpleNamespace(
                reactor=self.rig.reactor,
                clock=self.rig.clock,
                chats=self.rig.chats,
                spending=self.spending,
            ),
        )
        start.begin()
        return start

    def test_exception_ends_in_a_refusal_and_leaves_nothing(self):
        rows = (
            (chats.ChatService, 'submit'),
            (fleet.Fleet, 'knows'),
            (retries.RetryBudget, 'fresh'),
            (chats.ChatService, 'pump_soon'),
        )
        for place, attribute in rows:
            with self.subTest(attribute):
                self.begin()
                with (
                    mock.patch.object(
                        place,
                        attribute,
                        autospec=True,
                        side_effect=(RuntimeError('injected'), None),
                    ),
                    self.assertLogs(level='ERROR') as logs,
                ):
                    self.spending.then(None)
                self.assertIn('injected', logs.output[0])
                (error,) = self.sink.finals
                self.assertEqual(ErrorKind.INTERNAL_NOT_RUN, error.kind)
                self.rig.advance(10_000)
                self.assertEqual({}, self.rig.chats.runs)
                self.assertEqual(0, self.rig.chats.waiting_count)
                self.assertEqual([], self.rig.starts())
                self.assertEqual([], self.rig.reactor.getDelayedCalls())

    def test_tokens_of_a_chat_that_was_not_taken_are_given_back(self):
        self.begin()
        with (
            mock.patch.object(
                chats.ChatService,
                'submit',
                autospec=True,
                side_effect=RuntimeError,
            ),
            self.assertLogs(level='ERROR'),
        ):
            self.spending.then(None)
        self.assertEqual(['r0'], self.spending.given_back)


def waiting(play):
    """Let a request wait for its turn."""
    for connection in play.fleet.connections.values():
        connection.is_stopping = True
    return play.submit()


def placed(play):
    """Send a request to a server."""
    return play.submit()


def begun(play):
    """Begin the answer of a stream."""
    request_id = play.submit()
    ((play.link, play.start),) = play.starts()
    play.link.on_message(rigs.accept(play.start))
    play.link.on_message(rigs.frame(play.start, 0))
    return request_id


def placing(play):
    """Let the request's turn come."""
    for connection in play.fleet.connections.values():
        connection.is_stopping = False
    play.chats.pump_soon()
    play.advance(10)


def next_frame(play):
    """Send the next token."""
    play.link.on_message(rigs.frame(play.start, 1))


def failed(play):
    """Let the attempt fail."""
    play.link.on_message(rigs.fail(play.start, 1))


def finished(play):
    """Finish the answer."""
    for offset in (1, 2, 3):
        play.link.on_message(rigs.frame(play.start, offset))
    play.link.on_message(rigs.finish(play.start))


def watched(play):
    """Look for silent agents."""
    play.chats.watch()


def reset(play):
    """Replace the connection."""
    play.link.on_reset()


def deadline_passes(play):
    """Let the time limit pass."""
    play.advance(5000)


# What comes before, what starts the step, what raises, and the answer.
STEPS = (
    (waiting, placing, (fleet.Fleet, 'begin'), ErrorKind.INTERNAL),
    (
        waiting,
        deadline_passes,
        (outcomes, 'true_kind'),
        ErrorKind.INTERNAL_NOT_RUN,
    ),
    (begun, next_frame, (fleet.Fleet, 'prefilled'), ErrorKind.STREAM_BROKEN),
    (
        begun,
        failed,
        (retries.RetryBudget, 'take'),
        ErrorKind.STREAM_BROKEN,
    ),
    (begun, watched, (fleet.Fleet, 'is_lost'), ErrorKind.STREAM_BROKEN),
    (begun, reset, (fleet.Fleet, 'send'), ErrorKind.STREAM_BROKEN),
    (begun, finished, (fleet.Fleet, 'end'), ErrorKind.STREAM_BROKEN),
    (begun, deadline_passes, (fleet.Fleet, 'end'), ErrorKind.STREAM_BROKEN),
)


class StepFaultTest(unittest.TestCase):
    """An exception in any step ends the request at once."""

    def test_exception_ends_in_one_answer(self):
        for before, start, (place, attribute), kind in STEPS:
            with self.subTest(before=before.__name__, start=start.__name__):
                play = rigs.Rig()
                sink = play.sinks[before(play)]
                step = getattr(place, attribute)
                raises = mock.patch.object(
                    place,
                    attribute,
                    autospec=True,
                    side_effect=self.raise_once(step),
                )
                with raises, self.assertLogs(level='ERROR') as logs:
                    start(play)
                self.assertIn('injected', logs.output[0])
                (error,) = sink.finals
                self.assertEqual(kind, error.kind)
                self.assertEqual({}, play.chats.runs)
                for connection in play.fleet.connections.values():
                    self.assertEqual({}, connection.in_flight)

    def raise_once(self, step):
        """Raise an exception at the first call."""
        calls = iter((True,))

        def run(*args, **kwargs):
            if next(calls, False):
                raise RuntimeError('injected')
            return step(*args, **kwargs)

        return run

    def test_fault_after_the_end_leaves_no_caller_without_answer(self):
        for start in (finished, failed, deadline_passes):
            with self.subTest(start.__name__):
                play = rigs.Rig()
                play.budget.take = lambda: False
                sink = play.sinks[begun(play)]
                ended = mock.patch.object(
                    play.chats,
                    '_on_ended',
                    autospec=True,
                    side_effect=RuntimeError,
                )
                with ended, self.assertLogs(level='ERROR'):
                    start(play)
                (final,) = sink.finals
                is_whole = isinstance(final, messages.StreamFinished)
                self.assertEqual(start is finished, is_whole)

    def test_request_that_can_not_be_failed_is_answered_once(self):
        # Guards against a second end: a run that was answered went on.
        for step in (next_frame, deadline_passes):
            with self.subTest(step.__name__):
                play = rigs.Rig()
                sink = play.sinks[begun(play)]
                fault = mock.Mock(side_effect=RuntimeError('injected'))
                with (
                    mock.patch.object(fleet.Fleet, 'is_lost', fault),
                    mock.patch.object(fleet.Fleet, 'send', fault),
                    self.assertLogs(level='ERROR'),
                ):
                    watched(play)
                step(play)
                self.assertEqual(1, len(sink.finals))
                self.assertEqual(['0'], sink.parts)
                self.assertEqual({}, play.chats.runs)
                for connection in play.fleet.connections.values():
                    self.assertEqual({}, connection.in_flight)

    def test_exception_of_one_request_does_not_stop_the_others(self):
        play = rigs.Rig()
        first = waiting(play)
        second = waiting(play)
        raises = mock.patch.object(
            fleet.Fleet,
            'begin',
            autospec=True,
            side_effect=self.raise_once(fleet.Fleet.begin),
        )
        with raises, self.assertLogs(level='ERROR'):
            placing(play)
        self.assertEqual(1, len(play.sinks[first].finals))
        self.assertEqual(1, len(play.starts()))
        self.assertIn(second, play.chats.runs)


if __name__ == '__main__':
    unittest.main()
