"""Tests of assembling an answer from lost, repeated or late frames."""

import unittest

import hypothesis
from hypothesis import strategies as st

from shallothinge.errors import ErrorKind
from shallothinge.streams import assembly
from shallothinge.streams import messages

REQUEST_ID = 'r1'
LOAD = messages.LoadReport(server_id='s1')
LENGTH = 6


def frame(attempt, offset, *tokens, request_id=REQUEST_ID):
    """Return a frame."""
    return messages.StreamFrame(
        request_id=request_id, attempt=attempt, offset=offset, tokens=tokens
    )


def finished(attempt, offset, *, request_id=REQUEST_ID):
    """Return the end of a stream."""
    return messages.StreamFinished(
        request_id=request_id,
        attempt=attempt,
        offset=offset,
        finish_reason='stop',
        prompt_tokens=1,
        cached_tokens=0,
        generated_tokens=offset,
        load=LOAD,
    )


def failed(attempt, offset):
    """Return the failure of a stream."""
    return messages.StreamFailed(
        request_id=REQUEST_ID,
        attempt=attempt,
        offset=offset,
        kind=ErrorKind.BACKEND_FAILED,
        load=LOAD,
    )


class StepTest(unittest.TestCase):
    """The step for each message after the first two tokens of attempt 1."""

    def setUp(self):
        self.assembly = assembly.Assembly(request_id=REQUEST_ID)
        self.assembly.begin_attempt()
        self.assembly.take(frame(1, 0, 'a', 'b'))

    def test_steps(self):
        table = (
            ('next', frame(1, 2, 'c'), assembly.Deliver(tokens=('c',))),
            ('duplicate', frame(1, 1, 'b'), None),
            ('overlap', frame(1, 1, 'b', 'c'), assembly.Deliver(tokens='c')),
            ('gap', frame(1, 3, 'd'), assembly.Resume(next_offset=2)),
            ('older attempt', frame(0, 2, 'c'), None),
            ('later attempt', frame(2, 2, 'c'), None),
            ('other request', frame(1, 2, 'c', request_id='r2'), None),
            (
                'end after a gap',
                finished(1, 4),
                assembly.Resume(next_offset=2),
            ),
            (
                'end before the offset',
                finished(1, 1),
                assembly.AttemptEnded(kind=ErrorKind.STREAM_BROKEN),
            ),
            (
                'other tokens at a known offset',
                frame(1, 1, 'x', 'c'),
                assembly.AttemptEnded(kind=ErrorKind.STREAM_BROKEN),
            ),
            (
                'failure',
                failed(1, 2),
                assembly.AttemptEnded(kind=ErrorKind.BACKEND_FAILED),
            ),
            (
                'end',
                finished(1, 2),
                assembly.Complete(finished=finished(1, 2)),
            ),
        )
        for name, message, expected in table:
            with self.subTest(name):
                self.setUp()
                step = self.assembly.take(message)
                if isinstance(expected, assembly.Deliver):
                    self.assertEqual(('c',), step.tokens)
                else:
                    self.assertEqual(expected, step)

    def test_gap_is_asked_for_once(self):
        self.assertIsNotNone(self.assembly.take(frame(1, 4, 'e')))
        self.assertIsNone(self.assembly.take(frame(1, 5, 'f')))

    def test_nothing_is_taken_after_the_end(self):
        self.assembly.take(finished(1, 2))
        self.assertIsNone(self.assembly.take(frame(1, 2, 'c')))


class Network:
    """Simulated agents; messages may be lost, repeated, reordered or late.

    Attempt ``a`` generates token ``a.i`` at offset ``i``.
    """

    def __init__(self):
        self.sent = []
        self.begun_at = {}

    def begin(self, attempt, first):
        """Start a new attempt that generates from an offset."""
        self.begun_at[attempt] = first
        self.send(attempt, first)

    def send(self, attempt, first):
        """Send an attempt's messages, starting at an offset."""
        for offset in range(first, LENGTH):
            self.sent.append(frame(attempt, offset, f'{attempt}.{offset}'))
        self.sent.append(finished(attempt, LENGTH))
        other = frame(attempt, first, 'of another', request_id='r2')
        self.sent.append(other)

    def generation_of(self, offset):
        """Return the attempt whose token belongs at an offset."""
        begun = [a for a, first in self.begun_at.items() if first <= offset]
        return max(begun)


class DisturbedTest(unittest.TestCase):
    """Any order, loss and repetition of messages over several attempts."""

    def _check_prefix(self, taker, network):
        for offset, token in enumerate(taker.delivered):
            attempt = network.generation_of(offset)
            self.assertEqual(f'{attempt}.{offset}', token)

    def _follow(self, step, taker, network):
        if isinstance(step, assembly.Resume):
            network.send(taker.attempt, step.next_offset)
        elif isinstance(step, assembly.AttemptEnded):
            self.fail(f'a sound attempt ended with {step.kind}')
        return isinstance(step, assembly.Complete)

    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    @hypothesis.given(data=st.data())
    def test_answer_is_whole_and_of_one_generation_at_a_time(self, data):
        taker = assembly.Assembly(request_id=REQUEST_ID)
        network = Network()
        network.begin(taker.begin_attempt(), 0)
        complete = False
        for _ in range(data.draw(st.integers(0, 40))):
            choice = data.draw(st.integers(0, 9))
            if choice == 0 and not complete:
                network.begin(taker.begin_attempt(), taker.next_offset)
            elif network.sent:
                index = data.draw(st.integers(0, len(network.sent) - 1))
                message = network.sent[index]
                if choice > 4:
                    del network.sent[index]
                step = taker.take(message)
                ended = self._follow(step, taker, network)
                self.assertFalse(ended and complete, 'two ends')
                complete = complete or ended
            self._check_prefix(taker, network)
        if not complete:
            complete = self._deliver_rest(taker, network)
        self.assertTrue(complete)
        self.assertEqual(LENGTH, len(taker.delivered))
        self._check_prefix(taker, network)

    def _deliver_rest(self, taker, network):
        resume = taker.resume()
        network.send(taker.attempt, resume.next_offset)
        while network.sent:
            step = taker.take(network.sent.pop(0))
            if self._follow(step, taker, network):
                return True
        return False
