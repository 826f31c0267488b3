"""Tests that exceptions while a chat is served end in an answer."""

import types
import unittest
from unittest import mock

from shallothinge.entry import chat_start
from shallothinge.entry import chats
from shallothinge.entry import fleet
from shallothinge.entry.tests import rig as rigs
from shallothinge.errors import ErrorKind
from shallothinge.routing import retries


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


if __name__ == '__main__':
    unittest.main()
