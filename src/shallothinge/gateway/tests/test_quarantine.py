"""Tests of gateways whose servers crash on a part of prompts."""

import unittest

import attrs

from shallothinge.gateway.tests import rig
from shallothinge.gateway.tests import test_forwarding
from shallothinge.quarantine import records
from shallothinge.quarantine import suspects

STREAM = '/lohu930/1'
EVENT = b'id: 1\ndata: 1\n\n'
DEADLY = {'prompt-prefix': 'aa:40,bad:400,c1:1000'}
SOUND = {'prompt-prefix': 'aa:40,good:400,c2:1000'}
MOMENT_MS = 150


def prompt(parts, number):
    """Return the header of a prompt with some parts and one of its own."""
    return {'prompt-prefix': ','.join((*parts, f'own-{number}:1000'))}


class FleetTestCase(unittest.TestCase):
    """Some gateways of one fleet."""

    def setUp(self):
        self.make(count=3)

    def make(self, *, count, stream=None):
        self.rigs = [
            rig.Rig(
                configuration=test_forwarding.only_engines(stream),
                server_count=9,
            )
            for _ in range(count)
        ]

    def advance(self, duration_ms):
        for one in self.rigs:
            one.advance(duration_ms)

    def exchange(self):
        for sender in self.rigs:
            report = sender.parts.quarantine.report(complete=False)
            for receiver in self.rigs:
                if report is not None and receiver is not sender:
                    receiver.parts.quarantine.apply_report(
                        report, peer_id=str(self.rigs.index(sender))
                    )

    def ask(self, index, fields, **more):
        """Send a request; return its exchange and its calls to servers."""
        one = self.rigs[index]
        before = len(one.caller.calls)
        exchange = one.request(STREAM, tokens=5000, **fields, **more)
        return exchange, lambda: one.caller.calls[before:]

    def crash(self, call):
        """Crash a server, which starts again, and let all gateways know."""
        self.advance(MOMENT_MS)
        call.fail(was_sent=True)
        server_id = call.head.get('expected-instance')
        for one in self.rigs:
            members = one.holder.members
            if server_id in members:
                members[server_id] = attrs.evolve(
                    members[server_id],
                    incarnation=members[server_id].incarnation + '1',
                )
        self.exchange()
        self.advance(suspects.SETTLE_MS)
        for one in self.rigs:
            one.parts.quarantine.judge()
        self.exchange()
        self.advance(20)

    def answer_sound(self, fields=SOUND):
        """Answer sound requests that share a part with the deadly ones."""
        for index in range(len(self.rigs)):
            exchange, calls = self.ask(index, fields)
            calls()[0].answer(200, body=EVENT)
            self.assertTrue(exchange.is_whole)
        self.exchange()


class QueryOfDeathTest(FleetTestCase):
    """Requests with a part that crashes servers."""

    def crash_twice(self, index):
        """Let a deadly request crash two servers; return its exchange."""
        exchange, calls = self.ask(index, DEADLY)
        for number in range(2):
            self.crash(calls()[number])
        return exchange

    def quarantine(self):
        """Prove the sound parts, then let the deadly one be found."""
        self.answer_sound()
        return self.find_deadly_part()

    def find_deadly_part(self):
        """Let three crashes be seen; return the last request's exchange."""
        self.crash_twice(0)
        exchange, calls = self.ask(1, DEADLY)
        self.crash(calls()[0])
        self.assertEqual(1, len(calls()))
        return exchange

    def test_part_that_crashes_servers_reaches_no_more_of_them(self):
        self.quarantine()
        for index in range(3):
            with self.subTest(gateway=index):
                exchange, calls = self.ask(index, DEADLY)
                self.assertEqual([], calls())
                self.assertEqual(503, exchange.status)
                self.assertGreater(float(exchange.headers['retry-after']), 500)

    def test_deadly_part_is_found_wherever_it_stands_and_however_long(self):
        # Parts behind the 64th and ids of over 64 characters were not seen.
        for count, place, deadly in (
            (70, 68, 'bad'),
            (400, 399, 'bad'),
            (1000, 500, 'bad'),
            (4, 2, 'b' * 96),
        ):
            with self.subTest(count=count, place=place, deadly=deadly):
                self.setUp()
                sound = [f'{index:x}:4' for index in range(count)]
                tainted = [*sound[:place], f'{deadly}:4', *sound[place:]]
                self.answer_sound(prompt(sound, 0))
                for number in range(5):
                    _, calls = self.ask(number % 3, prompt(tainted, number))
                    if calls():
                        self.crash(calls()[0])
                for index in range(3):
                    _, calls = self.ask(index, prompt(tainted, 5 + index))
                    self.assertEqual([], calls())
                self.answer_sound(prompt(sound, 1))

    def test_sound_requests_with_the_other_parts_are_served(self):
        self.quarantine()
        self.answer_sound()

    def test_request_that_ran_is_not_refused_as_not_run(self):
        self.assertEqual(502, self.quarantine().status)

    def test_requests_that_servers_read_are_cancelled_at_the_verdict(self):
        reading, calls = self.ask(2, DEADLY)
        self.quarantine()
        self.assertTrue(calls()[0].is_cancelled)
        self.assertEqual(502, reading.status)

    def test_request_that_waits_is_refused_at_the_verdict(self):
        self.rigs[2].holder.members.clear()
        self.rigs[2].holder.is_settled = False
        waiting, calls = self.ask(2, DEADLY)
        self.assertIsNone(waiting.status)
        self.find_deadly_part()
        self.assertEqual([], calls())
        self.assertEqual(503, waiting.status)

    def test_stream_that_is_being_written_goes_on(self):
        writing, calls = self.ask(2, DEADLY)
        calls()[0].answer(200, body=EVENT, ends=False)
        self.find_deadly_part()
        self.assertFalse(writing.is_ended)
        calls()[0].end()
        self.assertTrue(writing.is_whole)
        self.exchange()
        _, again = self.ask(0, DEADLY)
        self.assertEqual(1, len(again()))

    def test_failures_that_are_no_crash_quarantine_nothing(self):
        def refused(_, call):
            call.refuse()

        def unreachable(_, call):
            call.fail(was_sent=False)

        def server_error(_, call):
            call.answer(500)

        def unsigned(_, call):
            call.answer(200, headers=rig.SIGNED[:1], ends=False)

        def leaving(play, call):
            server = play.server_at(call.address)
            play.holder.members[server.server_id] = attrs.evolve(
                server, leaving=True
            )
            play.parts.servers.sync_members()
            call.fail(was_sent=True)

        def long_written(play, call):
            call.answer(200, body=EVENT, ends=False)
            self.advance(300)
            call.fail(was_sent=True)

        for fail in (
            refused,
            unreachable,
            server_error,
            unsigned,
            leaving,
            long_written,
        ):
            with self.subTest(fail=fail.__name__):
                self.make(count=1, stream={'attempts': 1})
                for _ in range(8):
                    _, calls = self.ask(0, DEADLY)
                    self.advance(MOMENT_MS)
                    fail(self.rigs[0], calls()[0])
                    self.advance(5000)
                _, calls = self.ask(0, DEADLY)
                self.assertEqual(1, len(calls()))

    def count_until_refused(self, ask, *, most):
        """Ask up to so many times; return how many reached a server."""
        for number in range(most):
            calls = ask(number % len(self.rigs))
            if not calls:
                return number
            self.advance(1000)
        return most

    # Guards against a part that was never found as it crashed servers late.
    def test_part_that_crashes_servers_as_they_write_is_found(self):
        def ask(index):
            _, calls = self.ask(index, DEADLY)
            for number in range(2):
                if len(calls()) > number:
                    calls()[number].answer(200, body=EVENT, ends=False)
                    self.advance(400)
                    self.crash(calls()[number])
            return calls()

        self.answer_sound()
        self.assertLess(self.count_until_refused(ask, most=8), 8)
        self.assertFalse(self.ask(0, SOUND)[0].is_ended)

    # Guards against a part that the rest of each resumed stream had cleared.
    def test_rest_of_a_resumed_stream_does_not_clear_a_part(self):
        def ask(index):
            _, calls = self.ask(index, DEADLY)
            if calls():
                calls()[0].answer(200, body=EVENT, ends=False)
                self.advance(400)
                self.crash(calls()[0])
            if len(calls()) > 1:
                calls()[1].answer(200, body=b'id: 2\ndata: 2\n\n')
                self.exchange()
            return calls()

        self.assertLess(self.count_until_refused(ask, most=8), 8)

    def test_stream_that_another_server_writes_for_longer_clears_a_part(self):
        for _ in range(10):
            exchange, calls = self.ask(0, DEADLY)
            calls()[0].answer(200, body=EVENT, ends=False)
            self.advance(400)
            self.crash(calls()[0])
            calls()[1].answer(200, body=b'id: 2\ndata: 2\n\n', ends=False)
            self.advance(600)
            calls()[1].end()
            self.assertTrue(exchange.is_whole)
            self.exchange()

    # Guards against time of servers that was not counted if callers left.
    def test_part_whose_callers_leave_is_not_blamed_for_crashes(self):
        self.make(count=1, stream={'attempts': 1})
        for _ in range(8):
            asked = [self.ask(0, SOUND, deadline_ms=20_000) for _ in range(8)]
            for _, calls in asked:
                calls()[0].answer(200, body=EVENT, ends=False)
            self.advance(5000)
            for exchange, _ in asked[1:]:
                exchange.on_disconnect()
            self.crash(asked[0][1]()[0])
        self.assertFalse(self.ask(0, SOUND)[0].is_ended)

    def test_log_tells_how_a_failed_attempt_counts(self):
        table = (
            (0, {'was_sent': True}, 'early'),
            (400, {'was_sent': True}, 'late'),
            (0, {'was_sent': False}, 'not_closed'),
        )
        for writing_ms, fields, expected in table:
            with self.subTest(expected):
                self.make(count=1)
                _, calls = self.ask(0, DEADLY)
                if writing_ms:
                    calls()[0].answer(200, body=EVENT, ends=False)
                    self.advance(writing_ms)
                with self.assertLogs(
                    'shallothinge.gateway.request_log'
                ) as logs:
                    calls()[0].fail(**fields)
                found = [
                    one.crash_evidence
                    for one in logs.records
                    if one.getMessage() == 'attempt failed'
                ]
                self.assertEqual([expected], found)

    def test_own_cancels_and_deadlines_quarantine_nothing(self):
        self.make(count=1)
        for index in range(8):
            exchange, _ = self.ask(0, DEADLY, deadline_ms=800)
            if index % 2:
                exchange.on_disconnect()
            self.advance(1000)
        _, calls = self.ask(0, DEADLY)
        self.assertEqual(1, len(calls()))

    def test_probe_is_not_retried(self):
        self.quarantine()
        self.advance(records.QUARANTINE_MS)
        probe, calls = self.ask(0, DEADLY)
        self.crash(calls()[0])
        self.assertEqual((1, 502), (len(calls()), probe.status))
        exchange, calls = self.ask(2, DEADLY)
        self.assertEqual(([], 503), (calls(), exchange.status))


class RepeatedRequestTest(FleetTestCase):
    """A request that crashes servers, and sound ones that share its part."""

    REQUEST = {'prompt-prefix': 'aa:40,c1:1000', 'body': b'deadly'}
    MAX_CRASHES = 3

    def crash_all(self, count):
        """Let the request come again and again; return its exchanges."""
        made = []
        for number in range(count):
            exchange, calls = self.ask(number % 3, self.REQUEST)
            served = 0
            while served < len(calls()):
                self.crash(calls()[served])
                self.crash_count += 1
                served += 1
            made.append(exchange)
        return made

    def setUp(self):
        super().setUp()
        self.crash_count = 0

    def test_request_that_crashes_servers_reaches_no_more_of_them(self):
        for is_proven in (True, False):
            with self.subTest(is_proven=is_proven):
                self.setUp()
                if is_proven:
                    self.answer_sound()
                last = self.crash_all(6)[-1]
                self.assertEqual(self.MAX_CRASHES, self.crash_count)
                self.assertEqual(503, last.status)
                self.assertGreater(float(last.headers['retry-after']), 500)

    def test_sound_requests_beside_a_deadly_one_are_served(self):
        for is_proven in (True, False):
            with self.subTest(is_proven=is_proven):
                self.setUp()
                if is_proven:
                    self.answer_sound()
                for _ in range(4):
                    self.crash_all(3)
                    self.answer_sound()


class OneMomentTest(FleetTestCase):
    """A request that several callers send at one moment."""

    BODY = b'deadly'
    GATEWAYS = 4
    # By then those that are judged are refused, and servers get no more.
    LATER_MS = 3000

    def spread(self, zone_count):
        """Let the servers be in several zones."""
        for one in self.rigs:
            for index, server_id in enumerate(sorted(one.holder.members)):
                one.holder.members[server_id] = attrs.evolve(
                    one.holder.members[server_id],
                    zone=f'z{index % zone_count}',
                )

    def crash_together(self):
        """Let a request of each gateway crash another server at once."""
        self.advance(MOMENT_MS)
        sent = {}
        for index, one in enumerate(self.rigs):
            # Servers of other gateways are busy.
            one.holder.left_ids.update(sent)
            _, calls = self.ask(index, {'body': self.BODY})
            sent[calls()[0].head.get('expected-instance')] = calls()[0]
            one.holder.left_ids.clear()
        for call in sent.values():
            call.fail(was_sent=True)
            self.advance(5)
        self.exchange()
        return sent.keys()

    def go_on(self, crashed):
        """Let each other server answer a sound request at some gateway."""
        for one in self.rigs:
            for server_id in one.holder.members.keys() - crashed:
                one.parts.quarantine.record_data(
                    key=(server_id, '1'), opened_ms=one.clock.now_ms() - 1
                )
        self.exchange()

    def test_request_of_many_callers_at_one_moment_is_found(self):
        # All its crashes counted once, so that it took three such groups.
        for zone_count in (1, 3):
            with self.subTest(zone_count=zone_count):
                self.make(count=self.GATEWAYS, stream={'attempts': 1})
                self.spread(zone_count)
                crashed = self.crash_together()
                self.assertEqual(self.GATEWAYS, len(crashed))
                self.advance(40)
                self.go_on(crashed)
                for _ in range(self.LATER_MS // suspects.SETTLE_MS):
                    self.advance(suspects.SETTLE_MS)
                    for one in self.rigs:
                        one.parts.quarantine.judge()
                    self.exchange()
                for index in range(self.GATEWAYS):
                    exchange, calls = self.ask(index, {'body': self.BODY})
                    self.assertEqual([], calls())
                    self.assertEqual(503, exchange.status)


if __name__ == '__main__':
    unittest.main()
