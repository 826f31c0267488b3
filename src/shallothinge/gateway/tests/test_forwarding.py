"""Tests of forwarding requests to backend servers and their answers back."""

import unittest

import attrs

from shallothinge.gateway.tests import rig
from shallothinge.placement import server_queue
from shallothinge.platform.tests import samples

STREAM = '/lohu930/1'
BOOKING = '/book/1'
LOGGER = 'shallothinge.gateway.request_log'


def event(number):
    return f'id: {number}\ndata: {number}\n\n'.encode()


def only_engines(stream=None):
    """Return the sample configuration with all streams routed to engines.

    :param stream: changed fields of the streams' route.
    """
    fields = samples.configuration()
    del fields['routes'][0]['traffic-split']
    fields['routes'][0].update({'service': 'llm', **(stream or {})})
    return fields


class ForwardingTest(unittest.TestCase):
    """Answers that callers get, also when servers fail or are full."""

    def setUp(self):
        self.rig = rig.Rig(configuration=only_engines())

    @property
    def calls(self):
        return self.rig.caller.calls

    def test_answer_is_passed_on(self):
        exchange = self.rig.request(BOOKING)
        self.calls[0].answer(200, body=b'done')
        self.assertEqual((200, b'done'), (exchange.status, exchange.received))
        self.assertEqual('signature', exchange.headers['response-signature'])
        self.assertEqual({}, self.rig.load.loads())

    def test_request_is_not_sent_to_a_server_that_left_while_connecting(self):
        def leave(holder, server):
            holder.left_ids.add(server.server_id)

        def report(holder, server):
            holder.members[server.server_id] = attrs.evolve(
                server, leaving=True
            )

        def vanish(holder, server):
            del holder.members[server.server_id]

        def close_zone(holder, server):
            holder.config = attrs.evolve(holder.config, zones_out=('z1',))

        def lose_lease(holder, server):
            holder.is_leased = False

        for change in (leave, report, vanish, close_zone, lose_lease):
            with self.subTest(change=change.__name__):
                self.setUp()
                self.rig.request(BOOKING)
                call = self.calls[0]
                self.assertTrue(call.may_send())
                server = next(
                    one
                    for one in self.rig.holder.members.values()
                    if one.address == call.address
                )
                change(self.rig.holder, server)
                self.assertFalse(call.may_send())

    def test_refused_requests(self):
        cases = (
            ('/none/1', {}, 404),
            (BOOKING, {'credential': 'unknown'}, 401),
            (BOOKING, {'deadline-milliseconds': 'x'}, 400),
        )
        for path, fields, status in cases:
            with self.subTest(path=path, fields=fields):
                exchange = self.rig.request(path, **fields)
                self.assertEqual(status, exchange.status)
        self.assertEqual([], self.calls)

    def test_booking_goes_elsewhere_only_if_it_surely_did_not_run(self):
        for fail, sent in (
            (lambda call: call.refuse(), 2),
            (lambda call: call.fail(was_sent=False), 2),
            (lambda call: call.fail(was_sent=True), 1),
            (lambda call: call.answer(500, headers=()), 1),
        ):
            self.setUp()
            exchange = self.rig.request(BOOKING)
            fail(self.calls[0])
            self.assertEqual(sent, len(self.calls))
            if sent == 1:
                self.assertEqual(502, exchange.status)

    def test_booking_with_unknown_outcome_at_its_deadline(self):
        exchange = self.rig.request(BOOKING, deadline_ms=800)
        self.rig.advance(800)
        self.assertEqual(504, exchange.status)
        self.assertTrue(self.calls[0].is_cancelled)

    def test_request_that_is_read_after_its_deadline_does_not_run(self):
        rows = ((BOOKING, 0), (STREAM, 5000))
        for path, tokens in rows:
            for waited_ms, status, calls in (
                (799, None, 1),
                (800, 503, 0),
                (60_000, 503, 0),
            ):
                with self.subTest(path=path, waited_ms=waited_ms):
                    self.calls.clear()
                    exchange = self.rig.request(
                        path,
                        tokens=tokens,
                        deadline_ms=800,
                        waited_ms=waited_ms,
                    )
                    self.assertEqual(status, exchange.status)
                    self.assertEqual(calls, len(self.calls))
                    self.rig.advance(1000)

    def test_servers_own_failure_is_passed_on_with_its_signature(self):
        exchange = self.rig.request(BOOKING)
        self.calls[0].answer(500, body=b'failed')
        self.assertEqual(
            (500, b'failed'), (exchange.status, exchange.received)
        )

    def test_stream_resumes_elsewhere_without_a_gap(self):
        exchange = self.rig.request(STREAM, tokens=5000)
        first = self.calls[0]
        first.answer(200, body=event(1) + event(2) + b'id: 3', ends=False)
        first.fail(was_sent=True)
        second = self.calls[1]
        self.assertNotEqual(first.address, second.address)
        self.assertEqual('2', second.head.get('last-event-id'))
        second.answer(
            200,
            headers=(*rig.SIGNED, ('x', 'second')),
            body=event(2) + event(3),
        )
        self.assertEqual(event(1) + event(2) + event(3), exchange.received)
        self.assertTrue(exchange.is_whole)
        self.assertNotIn('x', exchange.headers)

    def test_stream_that_can_not_resume_is_cut(self):
        fields = only_engines()
        fields['routes'][0]['resume-streams'] = False
        self.rig = rig.Rig(configuration=fields)
        exchange = self.rig.request(STREAM, tokens=5000)
        self.calls[0].answer(200, body=event(1), ends=False)
        self.calls[0].fail(was_sent=True)
        self.assertTrue(exchange.is_cut)
        self.assertEqual(1, len(self.calls))

    def test_success_without_signature_is_not_passed_on(self):
        exchange = self.rig.request(BOOKING)
        self.calls[0].answer(
            200, headers=rig.SIGNED[:1], body=b'?', ends=False
        )
        self.assertEqual(502, exchange.status)

    def test_answer_to_another_request_is_not_passed_on(self):
        headers = (('request-attempt-id', 'other'), rig.SIGNED[1])
        exchange = self.rig.request(BOOKING)
        self.calls[0].answer(200, headers=headers, body=b'?', ends=False)
        self.assertEqual(502, exchange.status)

    def test_work_is_dropped_when_the_caller_goes(self):
        exchange = self.rig.request(STREAM, tokens=5000)
        exchange.on_disconnect()
        self.assertTrue(self.calls[0].is_cancelled)
        self.assertEqual({}, self.rig.load.loads())
        self.rig.advance(10_000)
        self.assertEqual(1, len(self.calls))

    def test_request_to_full_service_is_refused_with_retry_after(self):
        exchange = self.rig.request(BOOKING)
        for call in self.calls:
            call.refuse()
        self.assertEqual(503, exchange.status)
        self.assertIn('retry-after', exchange.headers)

    def test_lease_is_checked_before_each_send(self):
        exchange = self.rig.request(BOOKING)
        self.rig.holder.is_leased = False
        self.calls[0].fail(was_sent=False)
        self.assertEqual((1, 503), (len(self.calls), exchange.status))

    def test_no_new_work_for_zones_that_are_out_and_leaving_servers(self):
        for server_id in ('desk-0', 'desk-1'):
            del self.rig.holder.members[server_id]
        self.rig.add_server('desk', 2, leaving=True)
        self.assertEqual(503, self.rig.request(BOOKING).status)
        self.rig.add_server('desk', 2)
        self.rig.request(BOOKING)
        self.assertEqual(1, len(self.calls))

    def test_long_prompt_gets_helpers_and_counts_at_each_of_them(self):
        fields = only_engines()
        fields['routes'][0]['target-latency-ms'] = 3000
        self.rig = rig.Rig(configuration=fields)
        self.rig.request(STREAM, tokens=182_000)
        helpers = self.calls[0].head.get('helpers').split(',')
        self.assertEqual(2, len(helpers))
        self.assertNotIn(self.calls[0].address, helpers)
        loads = self.rig.load.loads()
        self.assertEqual(2, sum(load.helping for load in loads.values()))
        self.calls[0].answer(200, body=event(1), ends=False)
        loads = self.rig.load.loads()
        self.assertEqual(0, sum(load.helping for load in loads.values()))

    def test_silent_server_is_left_only_if_another_takes_over(self):
        exchange = self.rig.request(STREAM, tokens=5000)
        self.rig.advance(2000)
        self.assertEqual(2, len(self.calls))
        self.assertFalse(self.calls[0].is_cancelled)
        self.rig.advance(2000)
        self.assertEqual(2, len(self.calls))
        self.assertFalse(self.calls[0].is_cancelled)
        self.assertFalse(self.calls[1].is_cancelled)
        self.calls[1].answer(200, body=event(1))
        self.assertTrue(self.calls[0].is_cancelled)
        self.assertTrue(exchange.is_whole)

    def test_helper_that_refuses_is_left_out_and_its_server_kept(self):
        fields = only_engines()
        fields['routes'][0]['target-latency-ms'] = 3000
        self.rig = rig.Rig(configuration=fields, server_count=2)
        exchange = self.rig.request(STREAM, tokens=182_000)
        first = self.calls[0]
        first.refuse(fault_address=first.head.get('helpers'))
        second = self.calls[1]
        self.assertEqual(first.address, second.address)
        self.assertEqual('', second.head.get('helpers'))
        second.answer(200, body=event(1))
        self.assertTrue(exchange.is_whole)

    def test_request_waits_a_moment_for_the_lease(self):
        self.rig.holder.is_leased = False
        exchange = self.rig.request(BOOKING)
        self.rig.advance(100)
        self.assertIsNone(exchange.status)
        self.rig.holder.is_leased = True
        self.rig.advance(50)
        self.calls[0].answer(200)
        self.assertEqual(200, exchange.status)

    def test_request_without_a_lease_is_refused_in_time_to_go_elsewhere(self):
        rows = (
            # deadline_ms, missing_ms, refused_after_ms
            (1_500, 0, 300),
            (5_000, 0, 1_000),
            (15_000, 0, 2_000),
            (15_000, 1_500, 500),
            (15_000, 2_000, 0),
        )
        for deadline_ms, missing_ms, refused_after_ms in rows:
            with self.subTest(deadline_ms=deadline_ms, missing_ms=missing_ms):
                self.rig = rig.Rig()
                self.rig.holder.is_leased = False
                self.rig.ingress.track_missing_lease()
                self.rig.advance(missing_ms)
                exchange = self.rig.request(BOOKING, deadline_ms=deadline_ms)
                if refused_after_ms:
                    self.assertIsNone(exchange.status)
                    self.rig.advance(refused_after_ms)
                self.assertEqual(503, exchange.status)
                self.assertIn('retry-after', exchange.headers)

    def test_request_that_waited_while_the_process_was_frozen_waits_on(self):
        self.rig.ingress.track_missing_lease()
        self.rig.holder.is_leased = False
        self.rig.clock.advance(duration_ms=7_000)
        exchange = self.rig.request(BOOKING)
        self.assertIsNone(exchange.status)
        self.rig.advance(100)
        self.rig.holder.is_leased = True
        self.rig.advance(50)
        self.calls[0].answer(200)
        self.assertEqual(200, exchange.status)

    def test_caller_that_comes_back_after_a_restart_of_all_is_served(self):
        # Guards against refusing callers after a restart: all processes were
        # killed, callers reconnect once as soon as they can connect, and the
        # lease and the server list become available within a second.
        self.rig = rig.Rig(server_count=0)
        self.rig.holder.is_leased = False
        self.rig.holder.is_settled = False
        exchange = self.rig.request(STREAM, tokens=5000, deadline_ms=9_000)
        self.rig.advance(800)
        self.rig.holder.is_leased = True
        self.rig.advance(300)
        self.assertIsNone(exchange.status)
        self.rig.add_server('llm', 1)
        self.rig.advance(50)
        self.calls[0].answer(200, body=event(1))
        self.assertTrue(exchange.is_whole)

    def test_stream_that_finds_no_room_is_refused_before_its_caller_leaves(
        self,
    ):
        self.rig = rig.Rig(server_count=1)
        for _ in range(8):
            self.rig.load.start(
                server_queue.Work(server_id='llm-0', read_ms=0.0, started_ms=0)
            )
        exchange = self.rig.request(STREAM, tokens=5000)
        self.rig.advance(1000)
        self.assertIsNone(exchange.status)
        self.rig.advance(1000)
        self.assertEqual(503, exchange.status)
        self.assertIn('retry-after', exchange.headers)
        self.assertEqual([], self.calls)

    def test_server_at_work_is_not_avoided_for_a_request_that_waits_there(
        self,
    ):
        # Guards against avoiding busy servers: every slot is taken, so that
        # requests wait at servers for longer than expected.
        for is_at_work, allowed in ((False, 2), (True, 3)):
            with self.subTest(is_at_work=is_at_work):
                self.rig = rig.Rig(server_count=3)
                self.rig.request(STREAM, tokens=5000)
                call = self.calls[0]
                self.rig.advance(900)
                if is_at_work:
                    server_id = call.head.get('expected-instance')
                    self.rig.parts.servers.record_activity(server_id)
                self.rig.advance(700)
                self.assertEqual(2, len(self.calls))
                listed = self.rig.parts.servers.candidates(
                    service='llm', tried_ids=frozenset()
                )
                self.assertEqual(allowed, len(listed))

    def test_request_is_refused_at_once_where_no_server_will_come(self):
        self.rig = rig.Rig(server_count=0)
        exchange = self.rig.request(STREAM, tokens=5000)
        self.assertEqual(503, exchange.status)
        self.assertIn('retry-after', exchange.headers)

    def test_caller_that_leaves_while_waiting_for_the_lease_is_forgotten(self):
        self.rig.holder.is_leased = False
        exchange = self.rig.request(BOOKING)
        exchange.on_disconnect()
        self.rig.holder.is_leased = True
        self.rig.advance(1000)
        self.assertEqual([], self.calls)

    def test_end_of_a_cancelled_request_is_logged_as_sent(self):
        def let_time_out(exchange):
            self.rig.advance(800)

        def disconnect(exchange):
            self.rig.advance(100)
            exchange.on_disconnect()

        for end in (let_time_out, disconnect):
            with self.subTest(end=end.__name__):
                self.setUp()
                exchange = self.rig.request(BOOKING, deadline_ms=800)
                self.rig.advance(7)
                self.calls[0].may_send()
                with self.assertLogs(LOGGER, 'INFO') as logs:
                    end(exchange)
                ended = logs.records[-1]
                self.assertEqual(1, ended.sent)
                self.assertEqual(7, ended.sent_after_ms)

    def test_failed_attempt_is_logged_with_the_reason_for_no_retry(self):
        def spend_budget():
            while self.rig.parts.budget.take():
                pass

        rows = (
            (STREAM, lambda: None, None),
            (STREAM, spend_budget, 'budget'),
            (BOOKING, lambda: None, 'attempts'),
        )
        for path, prepare, reason in rows:
            with self.subTest(path=path, reason=reason):
                self.setUp()
                self.rig.request(path, tokens=5000)
                prepare()
                with self.assertLogs(LOGGER, 'INFO') as logs:
                    self.calls[0].fail(was_sent=True)
                failed = next(
                    record
                    for record in logs.records
                    if record.getMessage() == 'attempt failed'
                )
                self.assertEqual(reason, failed.no_retry)

    def test_retry_that_reached_no_server_leaves_its_budget_to_the_next(self):
        def fail(call):
            call.fail(was_sent=True)

        def fall_silent(call):
            self.rig.advance(1700)

        for first in (fail, fall_silent):
            with self.subTest(first=first.__name__):
                self.setUp()
                while self.rig.parts.budget.take():
                    pass
                for _ in range(8):
                    self.rig.parts.budget.fresh()
                exchange = self.rig.request(STREAM, tokens=5000)
                first(self.calls[0])
                self.assertEqual(2, len(self.calls))
                self.assertFalse(self.rig.parts.budget.has_credit)
                self.calls[1].fail(was_sent=False)
                self.rig.advance(200)
                self.assertEqual(3, len(self.calls))
                self.assertFalse(self.rig.parts.budget.has_credit)
                self.calls[2].answer(200, body=event(1))
                self.assertTrue(exchange.is_whole)

    def test_peers_avoid_a_server_that_failed(self):
        exchange = self.rig.request(BOOKING)
        self.calls[0].fail(was_sent=False)
        report = self.rig.load.report(complete=False)
        self.assertEqual(1, len(report.failed))
        other = rig.Rig(configuration=only_engines())
        other.load.apply_report(peer='one', report=report)
        for _ in range(4):
            other.request(BOOKING)
        addresses = {call.address for call in other.caller.calls}
        self.assertNotIn(self.calls[0].address, addresses)
        self.assertIsNone(exchange.status)


if __name__ == '__main__':
    unittest.main()
