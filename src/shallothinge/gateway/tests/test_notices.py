"""Tests of leave and pause notices from backend servers."""

import unittest

import attrs

from shallothinge import clock
from shallothinge import protocol
from shallothinge.gateway import notices
from shallothinge.gateway import servers
from shallothinge.gateway.tests import rig
from shallothinge.gateway.tests import test_forwarding

BOOKING = test_forwarding.BOOKING
STREAM = test_forwarding.STREAM
KEY = ('s', '1')


class ServerNoticesTest(unittest.TestCase):
    """The record of notices on its own."""

    def setUp(self):
        self.clock = clock.ManualClock(start_ms=1000)
        self.notices = notices.ServerNotices(clock=self.clock)

    def test_pause_ends_by_itself(self):
        self.notices.record_pause(KEY, 500)
        for after_ms, left_ms in ((0, 500), (499, 1), (500, 0), (501, 0)):
            with self.subTest(after_ms=after_ms):
                self.clock.advance(
                    duration_ms=1000 + after_ms - self.clock.now_ms()
                )
                self.assertEqual(left_ms, self.notices.pause_ms(KEY))

    def test_shorter_pause_does_not_end_a_longer_one(self):
        self.notices.record_pause(KEY, 500)
        self.notices.record_pause(KEY, 100)
        self.assertEqual(500, self.notices.pause_ms(KEY))
        self.notices.record_pause(KEY, 700)
        self.assertEqual(700, self.notices.pause_ms(KEY))

    def test_pause_without_end_is_bounded(self):
        self.notices.record_pause(KEY, 10**15)
        self.assertEqual(notices.MAX_PAUSE_MS, self.notices.pause_ms(KEY))

    def test_notice_is_of_one_incarnation(self):
        self.notices.mark_leaving(KEY)
        self.notices.record_pause(KEY, 500)
        self.assertTrue(self.notices.has_left(KEY))
        self.assertFalse(self.notices.has_left(('s', '2')))
        self.assertEqual(0, self.notices.pause_ms(('s', '2')))

    def test_server_that_left_is_remembered_while_a_list_may_name_it(self):
        self.notices.mark_leaving(KEY)
        self.clock.advance(duration_ms=notices.LEAVING_RETENTION_MS)
        self.notices.forget_unlisted(set())
        self.assertTrue(self.notices.has_left(KEY))
        self.clock.advance(duration_ms=1)
        self.notices.forget_unlisted({KEY})
        self.assertTrue(self.notices.has_left(KEY))
        self.notices.forget_unlisted(set())
        self.assertFalse(self.notices.has_left(KEY))


class NoticesInAnswersTest(unittest.TestCase):
    """Placement of requests after an answer that contains a notice.

    Each service has three servers.
    """

    LEAVING = (*rig.SIGNED, ('server-leaving', '1'))

    def setUp(self):
        self.rig = rig.Rig(configuration=test_forwarding.only_engines())

    @property
    def calls(self):
        return self.rig.caller.calls

    def address_of_next(self, path=BOOKING):
        """Return the address to which the next request is sent."""
        count = len(self.calls)
        self.rig.request(path)
        [call] = self.calls[count:]
        call.answer(200, body=b'done')
        return call.address

    def test_server_that_leaves_gets_nothing_more(self):
        unrun = (*self.LEAVING, ('not-executed', '1'))
        rows = (
            ('answer', BOOKING, 200, self.LEAVING),
            ('error', BOOKING, 500, self.LEAVING),
            ('refusal', BOOKING, 503, unrun),
            ('stream', STREAM, 200, self.LEAVING),
        )
        for name, path, status, headers in rows:
            with self.subTest(name):
                self.setUp()
                self.rig.request(path)
                call = self.calls[0]
                # A stream is left open, as its head has the notice.
                call.answer(status, headers=headers, ends=path != STREAM)
                addresses = {self.address_of_next(path) for _ in range(20)}
                self.assertNotIn(call.address, addresses)
                self.assertFalse(call.may_send())

    def test_request_on_its_way_to_a_server_that_leaves_is_kept_back(self):
        self.rig.request(BOOKING)
        while not (
            len(self.calls) > 1
            and self.calls[-1].address == self.calls[0].address
        ):
            self.rig.request(BOOKING)
        self.calls[0].answer(200, headers=self.LEAVING)
        self.assertFalse(self.calls[-1].may_send())

    def test_notice_of_another_server_at_the_address_is_ignored(self):
        self.rig.request(BOOKING)
        call = self.calls[0]
        call.answer(421, headers=self.LEAVING)
        self.calls[1].answer(200)
        self.rig.advance(servers.AVOID_MS)
        addresses = {self.address_of_next() for _ in range(60)}
        self.assertIn(call.address, addresses)

    def test_notice_without_a_true_value_is_ignored(self):
        self.rig.request(BOOKING)
        call = self.calls[0]
        call.answer(200, headers=(*rig.SIGNED, ('server-leaving', '0')))
        addresses = {self.address_of_next() for _ in range(60)}
        self.assertIn(call.address, addresses)

    def test_new_start_of_a_server_that_left_gets_requests(self):
        self.rig.request(BOOKING)
        call = self.calls[0]
        call.answer(200, headers=self.LEAVING)
        server = self.rig.server_at(call.address)
        self.rig.holder.members[server.server_id] = attrs.evolve(
            server, incarnation='2'
        )
        addresses = {self.address_of_next() for _ in range(60)}
        self.assertIn(call.address, addresses)

    def test_peers_learn_which_servers_leave(self):
        codec = protocol.build_codec()
        for is_complete in (False, True):
            with self.subTest(is_complete=is_complete):
                self.setUp()
                other = rig.Rig(configuration=test_forwarding.only_engines())
                self.rig.request(BOOKING)
                self.calls[0].answer(200, headers=self.LEAVING)
                if is_complete:
                    # The first report was lost.
                    self.rig.load.report(complete=False)
                report = self.rig.load.report(complete=is_complete)
                other.load.apply_report(
                    peer='one', report=codec.decode(codec.encode(report))
                )
                addresses = set()
                for _ in range(20):
                    other.request(BOOKING)
                    addresses.add(other.caller.calls[-1].address)
                    other.caller.calls[-1].answer(200)
                self.assertNotIn(self.calls[0].address, addresses)

    def refuse(self, call, retry_after):
        call.answer(
            503,
            headers=(
                *rig.SIGNED,
                ('not-executed', '1'),
                ('retry-after', retry_after),
            ),
        )

    def test_server_that_asks_for_a_pause_gets_nothing_until_it_ends(self):
        for text, pause_ms in (('1', 1000), ('0.25', 250), ('2.5', 2500)):
            with self.subTest(text):
                self.setUp()
                self.rig.request(BOOKING)
                call = self.calls[0]
                self.refuse(call, text)
                self.calls[1].answer(200)
                self.rig.advance(pause_ms - 1)
                addresses = {self.address_of_next() for _ in range(60)}
                self.assertNotIn(call.address, addresses)
                self.assertFalse(call.may_send())
                self.rig.advance(1)
                addresses = {self.address_of_next() for _ in range(60)}
                self.assertIn(call.address, addresses)

    def test_pause_that_can_not_be_parsed_is_ignored(self):
        texts = ('', 'soon', '-1', 'nan', 'inf', 'Wed, 21 Oct 2026 07:28:00')
        for text in texts:
            with self.subTest(text):
                self.setUp()
                self.rig.request(BOOKING)
                call = self.calls[0]
                self.refuse(call, text)
                self.assertTrue(call.may_send())

    def test_pause_counts_only_with_a_refusal(self):
        self.rig.request(BOOKING)
        call = self.calls[0]
        call.answer(200, headers=(*rig.SIGNED, ('retry-after', '5')))
        self.assertTrue(call.may_send())

    def test_refused_request_is_tried_elsewhere(self):
        exchange = self.rig.request(BOOKING)
        self.refuse(self.calls[0], '5')
        self.assertEqual(2, len(self.calls))
        self.assertNotEqual(self.calls[0].address, self.calls[1].address)
        self.calls[1].answer(200, body=b'done')
        self.assertEqual(200, exchange.status)

    def test_caller_is_told_the_soonest_pause_if_all_servers_ask_for_one(self):
        exchange = self.rig.request(BOOKING)
        for text in ('5', '2.5', '9'):
            self.refuse(self.calls[-1], text)
        self.assertEqual(503, exchange.status)
        self.assertEqual('2.5', exchange.headers['retry-after'])
        self.rig.advance(500)
        exchange = self.rig.request(BOOKING)
        self.assertEqual(3, len(self.calls))
        self.assertEqual(503, exchange.status)
        self.assertEqual('2', exchange.headers['retry-after'])
