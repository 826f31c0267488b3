"""Tests of streams whose backend server falls silent for a while."""

import unittest

from shallothinge.gateway.tests import rig
from shallothinge.gateway.tests import test_forwarding

STREAM = '/lohu930/1'
BOOKING = '/book/1'
LOGGER = 'shallothinge.gateway.request_log'
PROMPT_TOKENS = 5000
LONG_TOKENS = 200_000
# Longer than the stall timeouts of the sample route, before its first event
# and between events.
SILENT_MS = 1700


def event(number):
    return f'id: {number}\ndata: {number}\n\n'.encode()


def events(*numbers):
    return b''.join(map(event, numbers))


def spend_budget(rig):
    while rig.parts.budget.take():
        pass


def refill_budget(rig):
    for _ in range(20):
        rig.parts.budget.fresh()


def lose_lease(rig):
    rig.holder.is_leased = False


def remove_others(rig):
    kept = rig.server_at(rig.caller.calls[0].address).server_id
    rig.holder.members = {kept: rig.holder.members[kept]}


def refuse_at_others(rig):
    def call(**fields):
        made = sent(**fields)
        rig.reactor.callLater(0, made.refuse)
        return made

    sent = rig.caller.call
    rig.caller.call = call


def fill_others(rig):
    kept = rig.server_at(rig.caller.calls[0].address).server_id
    for server_id in rig.holder.members.keys() - {kept}:
        server = rig.holder.members[server_id]
        for _ in range(server.slots):
            rig.load.start(rig.work_at(server_id))


class SilentServerTest(unittest.TestCase):
    """A silent server keeps a stream until another one has taken over."""

    def setUp(self):
        self.configure()

    def configure(self, *, server_count=3, **stream):
        """Build a gateway whose streams have some fields of their own."""
        self.rig = rig.Rig(
            configuration=test_forwarding.only_engines(stream),
            server_count=server_count,
        )

    @property
    def calls(self):
        return self.rig.caller.calls

    def start(self, *, passed_on):
        """Send a stream whose server sends some events, then falls silent."""
        exchange = self.rig.request(STREAM, tokens=PROMPT_TOKENS)
        if passed_on:
            body = events(*range(1, passed_on + 1))
            self.calls[0].answer(200, body=body, ends=False)
        return exchange

    def go_on(self, call, *, after, until):
        """Let a server send the rest of the stream."""
        rest = events(*range(after + 1, until + 1))
        if after:
            call.listener.on_data(rest)
            call.end()
        else:
            call.answer(200, body=rest)

    def test_stream_is_not_cut_if_no_other_server_takes_over(self):
        for prepare in (
            spend_budget,
            lose_lease,
            remove_others,
            refuse_at_others,
            fill_others,
        ):
            for passed_on in (0, 3):
                with self.subTest(
                    prepare=prepare.__name__, passed_on=passed_on
                ):
                    self.setUp()
                    exchange = self.start(passed_on=passed_on)
                    prepare(self.rig)
                    for _ in range(SILENT_MS // 10):
                        self.rig.advance(10)
                    self.assertFalse(self.calls[0].is_cancelled)
                    self.go_on(self.calls[0], after=passed_on, until=5)
                    self.assertEqual(events(1, 2, 3, 4, 5), exchange.received)
                    self.assertTrue(exchange.is_whole)
                    self.assertTrue(
                        all(call.is_cancelled for call in self.calls[2:])
                    )

    def test_first_event_of_another_server_ends_the_silent_attempt(self):
        for passed_on in (0, 3):
            with self.subTest(passed_on=passed_on):
                self.setUp()
                exchange = self.start(passed_on=passed_on)
                self.rig.advance(SILENT_MS)
                first, second = self.calls
                self.assertNotEqual(first.address, second.address)
                last_id = str(passed_on) if passed_on else ''
                self.assertEqual(last_id, second.head.get('last-event-id'))
                self.assertFalse(first.is_cancelled)
                second.answer(200, body=event(passed_on + 1), ends=False)
                self.assertTrue(first.is_cancelled)
                self.go_on(second, after=passed_on + 1, until=5)
                self.assertEqual(events(1, 2, 3, 4, 5), exchange.received)
                self.assertTrue(exchange.is_whole)
                self.assertEqual({}, self.rig.load.loads())

    def test_silent_server_that_goes_on_ends_the_second_attempt(self):
        for passed_on in (0, 3):
            with self.subTest(passed_on=passed_on):
                self.setUp()
                exchange = self.start(passed_on=passed_on)
                self.rig.advance(SILENT_MS)
                first, second = self.calls
                self.go_on(first, after=passed_on, until=5)
                self.assertTrue(second.is_cancelled)
                self.assertEqual(events(1, 2, 3, 4, 5), exchange.received)
                self.assertTrue(exchange.is_whole)
                self.assertEqual({}, self.rig.load.loads())

    def test_events_that_the_caller_has_do_not_end_the_other_attempt(self):
        exchange = self.start(passed_on=3)
        self.rig.advance(SILENT_MS)
        first, second = self.calls
        second.answer(200, body=events(2, 3), ends=False)
        self.assertFalse(first.is_cancelled)
        self.go_on(first, after=3, until=5)
        self.assertEqual(events(1, 2, 3, 4, 5), exchange.received)

    def test_failure_of_one_attempt_leaves_the_answer_to_the_other(self):
        for failed, kept in ((0, 1), (1, 0)):
            for passed_on in (0, 3):
                with self.subTest(failed=failed, passed_on=passed_on):
                    self.setUp()
                    exchange = self.start(passed_on=passed_on)
                    self.rig.advance(SILENT_MS)
                    self.calls[failed].fail(was_sent=True)
                    self.assertEqual(2, len(self.calls))
                    call = self.calls[kept]
                    self.assertFalse(call.is_cancelled)
                    if kept:
                        rest = events(*range(passed_on + 1, 6))
                        call.answer(200, body=rest)
                    else:
                        self.go_on(call, after=passed_on, until=5)
                    self.assertEqual(events(1, 2, 3, 4, 5), exchange.received)
                    self.assertTrue(exchange.is_whole)

    def test_failure_of_both_attempts_ends_the_request(self):
        for passed_on in (0, 3):
            with self.subTest(passed_on=passed_on):
                self.setUp()
                exchange = self.start(passed_on=passed_on)
                self.rig.advance(SILENT_MS)
                for call in self.calls:
                    call.fail(was_sent=True)
                self.assertEqual(2, len(self.calls))
                self.assertEqual(passed_on > 0, exchange.is_cut)
                self.assertEqual(200 if passed_on else 502, exchange.status)

    def test_both_attempts_are_cancelled_with_their_request(self):
        def disconnect(exchange):
            exchange.on_disconnect()

        def let_time_out(exchange):
            self.rig.advance(5000)

        for end in (disconnect, let_time_out):
            with self.subTest(end=end.__name__):
                self.setUp()
                exchange = self.start(passed_on=3)
                self.rig.advance(SILENT_MS)
                end(exchange)
                self.assertEqual(
                    [True, True], [call.is_cancelled for call in self.calls]
                )
                self.assertEqual({}, self.rig.load.loads())

    def test_lease_that_returns_lets_another_server_take_over(self):
        self.start(passed_on=3)
        lose_lease(self.rig)
        self.rig.advance(SILENT_MS)
        self.assertEqual(1, len(self.calls))
        self.rig.holder.is_leased = True
        self.rig.advance(200)
        self.assertEqual(2, len(self.calls))

    def test_begun_stream_waits_for_control_that_recovers(self):
        def hide_servers(rig):
            rig.holder.is_settled = False
            rig.holder.members, self.hidden = {}, rig.holder.members

        def list_servers(rig):
            rig.holder.members = self.hidden

        def regain_lease(rig):
            rig.holder.is_leased = True

        rows = (
            (lose_lease, regain_lease),
            (hide_servers, list_servers),
        )
        for disturb, recover in rows:
            with self.subTest(disturb=disturb.__name__):
                self.setUp()
                exchange = self.start(passed_on=3)
                disturb(self.rig)
                self.calls[0].fail(was_sent=True)
                self.rig.advance(300)
                recover(self.rig)
                self.rig.advance(100)
                self.assertFalse(exchange.is_cut)
                self.calls[1].answer(200, body=events(4, 5))
                self.assertEqual(events(1, 2, 3, 4, 5), exchange.received)
                self.assertTrue(exchange.is_whole)

    def test_begun_stream_waits_for_servers_that_pause_or_return(self):
        def pause_others(rig):
            for server in others(rig):
                rig.parts.servers.record_notices(
                    server, is_leaving=False, pause_ms=1200
                )

        def unlist_others(rig):
            kept = rig.server_at(self.calls[0].address).server_id
            self.unlisted = dict(rig.holder.members)
            rig.holder.members = {kept: self.unlisted[kept]}

        def others(rig):
            address = self.calls[0].address
            listed = rig.holder.members.values()
            return [one for one in listed if one.address != address]

        def list_others(rig):
            rig.holder.members = self.unlisted

        rows = (
            (pause_others, 1300, lambda rig: None),
            (unlist_others, 500, list_others),
        )
        for disturb, missing_ms, recover in rows:
            with self.subTest(disturb=disturb.__name__):
                self.setUp()
                exchange = self.start(passed_on=3)
                disturb(self.rig)
                self.calls[0].fail(was_sent=True)
                for _ in range(missing_ms // 100):
                    self.rig.advance(100)
                    self.assertFalse(exchange.is_cut)
                recover(self.rig)
                self.rig.advance(100)
                self.calls[1].answer(200, body=events(4, 5))
                self.assertEqual(events(1, 2, 3, 4, 5), exchange.received)
                self.assertTrue(exchange.is_whole)

    def test_begun_stream_is_cut_if_its_caller_would_leave_first(self):
        exchange = self.start(passed_on=3)
        for server in self.rig.holder.members.values():
            self.rig.parts.servers.record_notices(
                server, is_leaving=False, pause_ms=4000
            )
        self.calls[0].fail(was_sent=True)
        self.rig.advance(1000)
        self.assertTrue(exchange.is_cut)

    def test_begun_stream_is_cut_if_control_does_not_recover(self):
        exchange = self.start(passed_on=3)
        lose_lease(self.rig)
        self.calls[0].fail(was_sent=True)
        self.rig.advance(2000)
        self.assertTrue(exchange.is_cut)

    def test_request_that_may_have_run_is_not_refused_as_not_run(self):
        def list_no_servers(rig):
            rig.holder.members = {}

        for disturb in (lose_lease, list_no_servers):
            with self.subTest(disturb=disturb.__name__):
                self.setUp()
                exchange = self.start(passed_on=0)
                disturb(self.rig)
                self.calls[0].fail(was_sent=True)
                self.assertEqual(502, exchange.status)

    def test_no_more_servers_are_asked_than_the_route_allows(self):
        self.start(passed_on=3)
        for _ in range(4):
            self.rig.advance(SILENT_MS // 2)
        self.assertEqual(2, len(self.calls))

    def test_second_server_that_falls_silent_is_replaced_if_allowed(self):
        self.start(passed_on=0)
        self.rig.advance(SILENT_MS)
        self.calls[0].refuse()
        self.assertEqual(2, len(self.calls))
        self.rig.advance(SILENT_MS)
        self.assertEqual(3, len(self.calls))
        self.assertFalse(self.calls[1].is_cancelled)

    def test_stream_that_goes_on_gets_no_second_attempt_later(self):
        self.start(passed_on=3)
        spend_budget(self.rig)
        self.rig.advance(SILENT_MS)
        self.calls[0].listener.on_data(event(4))
        refill_budget(self.rig)
        self.rig.advance(300)
        self.assertEqual(1, len(self.calls))

    def test_stalled_attempt_is_replaced_once_after_a_pause_of_its_caller(
        self,
    ):
        exchange = self.start(passed_on=3)
        spend_budget(self.rig)
        self.rig.advance(SILENT_MS)
        exchange.flow.pauseProducing()
        exchange.flow.resumeProducing()
        for _ in range(SILENT_MS // 10):
            self.rig.advance(10)
        self.calls[0].listener.on_data(event(4))
        refill_budget(self.rig)
        self.rig.advance(300)
        self.assertEqual(1, len(self.calls))

    def test_stream_that_went_on_is_replaced_if_it_falls_silent_again(self):
        exchange = self.start(passed_on=3)
        spend_budget(self.rig)
        self.rig.advance(SILENT_MS)
        self.calls[0].listener.on_data(event(4))
        exchange.flow.pauseProducing()
        exchange.flow.resumeProducing()
        refill_budget(self.rig)
        self.rig.advance(SILENT_MS)
        self.assertEqual(2, len(self.calls))

    def test_takeover_that_waits_holds_up_no_other_prompt(self):
        self.rig.request(STREAM, tokens=LONG_TOKENS, deadline_ms=10_000)
        busy = [
            self.rig.load.start(self.rig.work_at(f'llm-{index}', 60_000.0))
            for index in range(3)
        ]
        for _ in range(120):
            self.rig.advance(50)
        spend_budget(self.rig)
        for work_id in busy:
            self.rig.load.end(work_id)
        sent_count = len(self.calls)
        self.rig.request(STREAM, tokens=LONG_TOKENS, deadline_ms=10_000)
        self.rig.advance(100)
        self.assertEqual(sent_count + 1, len(self.calls))

    def test_second_server_that_refuses_is_replaced(self):
        self.start(passed_on=3)
        self.rig.advance(SILENT_MS)
        self.calls[1].refuse()
        self.assertEqual(3, len(self.calls))
        self.assertFalse(self.calls[0].is_cancelled)

    def test_silent_server_that_fails_is_replaced_once(self):
        self.configure(attempts=3, server_count=5)
        self.start(passed_on=3)
        spend_budget(self.rig)
        self.rig.advance(SILENT_MS)
        refill_budget(self.rig)
        self.calls[0].fail(was_sent=True)
        self.assertEqual(2, len(self.calls))
        self.rig.advance(300)
        self.assertEqual(2, len(self.calls))

    def test_two_silent_servers_at_most_run_a_request(self):
        self.configure(attempts=3, server_count=5)
        self.start(passed_on=3)
        for _ in range(4):
            self.rig.advance(1000)
        self.assertEqual(2, len(self.calls))
        self.assertFalse(any(call.is_cancelled for call in self.calls))

    def test_request_at_a_silent_server_is_not_refused_for_want_of_room(self):
        exchange = self.start(passed_on=0)
        fill_others(self.rig)
        for _ in range(300):
            self.rig.advance(10)
        self.assertIsNone(exchange.status)
        self.go_on(self.calls[0], after=0, until=5)
        self.assertTrue(exchange.is_whole)

    def test_second_attempt_counts_as_a_retry(self):
        self.start(passed_on=3)
        self.rig.advance(SILENT_MS)
        self.rig.parts.metrics.count_retry.assert_called_once_with()

    def test_end_is_logged_with_the_attempt_that_answered(self):
        self.start(passed_on=0)
        self.rig.advance(7)
        self.calls[0].may_send()
        self.rig.advance(SILENT_MS)
        first = self.rig.server_at(self.calls[0].address)
        with self.assertLogs(LOGGER, 'INFO') as logs:
            self.go_on(self.calls[0], after=0, until=5)
        self.assertEqual(7, logs.records[-1].sent_after_ms)
        self.assertEqual(first.server_id, logs.records[-1].server_id)

    def test_stream_that_may_not_be_resumed_stays_at_its_silent_server(self):
        self.configure(**{'resume-streams': False})
        exchange = self.start(passed_on=3)
        self.rig.advance(SILENT_MS)
        self.assertEqual(1, len(self.calls))
        self.go_on(self.calls[0], after=3, until=5)
        self.assertTrue(exchange.is_whole)

    def test_silence_while_the_caller_does_not_read_starts_no_attempt(self):
        exchange = self.start(passed_on=3)
        exchange.flow.pauseProducing()
        self.rig.advance(SILENT_MS)
        self.assertEqual(1, len(self.calls))

    def test_request_that_may_run_once_stays_at_its_silent_server(self):
        exchange = self.rig.request(BOOKING)
        self.rig.advance(700)
        self.assertEqual(1, len(self.calls))
        self.calls[0].answer(200, body=b'done')
        self.assertEqual(b'done', exchange.received)


if __name__ == '__main__':
    unittest.main()
