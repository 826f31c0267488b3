"""Tests of servers that leave the list while a request is placed again."""

import unittest

from shallothinge.gateway import reservation
from shallothinge.gateway.tests import rig
from shallothinge.gateway.tests import test_forwarding
from shallothinge.placement import choice

STREAM = test_forwarding.STREAM
TOO_LONG_TOKENS = 464_000


class VanishedServersTest(unittest.TestCase):
    """The list of servers is empty, or lacks some, for a moment."""

    def setUp(self):
        self.rig = rig.Rig(configuration=test_forwarding.only_engines())
        self.calls = self.rig.caller.calls

    def begin(self, *, tokens=0):
        """Begin the answer of a stream; return its exchange."""
        exchange = self.rig.request(STREAM, tokens=tokens)
        self.calls[0].answer(200, body=test_forwarding.event(1), ends=False)
        return exchange

    def unlist(self):
        """Take all servers off the list."""
        self.rig.holder.members.clear()

    def test_stream_is_cut_if_no_server_comes_back(self):
        exchange = self.begin()
        self.unlist()
        self.calls[0].fail(was_sent=True)
        self.rig.advance(10_000)
        self.assertTrue(exchange.is_cut)
        self.assertEqual([], self.rig.reactor.getDelayedCalls())

    def test_server_that_leaves_the_list_goes_on_with_its_answer(self):
        exchange = self.begin()
        self.unlist()
        self.rig.advance(100)
        self.calls[0].listener.on_data(test_forwarding.event(2))
        self.calls[0].end()
        self.assertTrue(exchange.is_whole)

    def test_helper_that_left_while_its_memory_was_reserved_is_not_named(self):
        self.rig.request(STREAM, tokens=TOO_LONG_TOKENS, deadline_ms=9000)
        reserved = list(self.calls)
        self.assertTrue(reserved)
        gone = self.rig.server_at(reserved[0].address)
        del self.rig.holder.members[gone.server_id]
        self.rig.parts.servers.sync_members()
        for call in reserved:
            call.answer(200, headers=(), body=b'{}')
        sent = [call for call in self.calls if call.head.target == STREAM]
        for call in sent:
            self.assertNotIn(gone.address, call.head.get('helpers'))


class VanishedHelperTest(unittest.TestCase):
    """A helper leaves between the choice and its reservation."""

    def test_reservation_is_refused_without_an_order(self):
        play = rig.Rig()
        refused = []
        play.parts.servers.sync_members()
        reserved = reservation.Reservation(
            parts=play.parts,
            request_id=rig.REQUEST_ID,
            shares=(
                choice.MemoryShare(server_id='llm-0', tokens=10),
                choice.MemoryShare(server_id='gone', tokens=10),
            ),
        )
        reserved.reserve(
            on_held=lambda: self.fail('held'), on_refused=refused.append
        )
        self.assertEqual([], refused)
        play.advance(0)
        self.assertEqual(['gone'], refused)
        self.assertEqual([], play.caller.calls)
        self.assertEqual('', reserved.ticket_at('gone'))
        reserved.release()
        self.assertEqual([], play.reactor.getDelayedCalls())
