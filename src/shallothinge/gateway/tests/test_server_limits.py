"""Tests of requests to servers that limit the rate of requests."""

import itertools
import unittest

import attrs

from shallothinge.gateway import notices
from shallothinge.gateway.tests import gateways
from shallothinge.gateway.tests import rig
from shallothinge.gateway.tests import test_forwarding
from shallothinge.server_limits.tests import bounds

BOOKING = test_forwarding.BOOKING
STREAM = test_forwarding.STREAM
SERVERS = tuple(f'10.0.0.{index}:4' for index in range(3))
REQUEST_INTERVAL_MS = 50
# Share of what the limits allow that is used while requests wait.
LEAST_USED = 0.8


class Load:
    """Callers' requests, and servers of which some name a limit."""

    def __init__(self, *, gateway_count, limits, status=200):
        self.gateways = gateways.Gateways(
            count=gateway_count, configuration=test_forwarding.only_engines()
        )
        self.limits = dict(limits)
        self.status = status
        self.exchanges = []
        self._turns = itertools.cycle(self.gateways.rigs)

    def answer(self, call):
        """Answer a call as the server does that it reached."""
        headers = rig.SIGNED
        if call.address in self.limits:
            text = f'{self.limits[call.address]:g}'
            headers = (*headers, ('server-limit', text))
        call.answer(self.status, headers=headers, body=b'done')

    def run(self, duration_ms):
        """Send a request each interval, to the gateways in turn."""
        end_ms = self.gateways.now_ms + duration_ms
        while self.gateways.now_ms < end_ms:
            if self.gateways.now_ms % REQUEST_INTERVAL_MS == 0:
                self.exchanges.append(next(self._turns).request(BOOKING))
            self.gateways.step(answer=self.answer)


class LimitTest(unittest.TestCase):
    """The requests of all gateways to servers that name a limit."""

    def test_server_gets_no_more_than_its_limit_from_all_gateways(self):
        counts, limits_per_s, limited_counts = (1, 3, 8), (0.5, 1, 2.5), (1, 3)
        rows = [
            *itertools.product(counts, limits_per_s, limited_counts, (200,)),
            (8, 1, 1, 500),
            (8, 1, 3, 500),
        ]
        for row in rows:
            gateway_count, limit_per_s, limited_count, status = row
            limited = SERVERS[:limited_count]
            with self.subTest(row=row):
                load = Load(
                    gateway_count=gateway_count,
                    limits=dict.fromkeys(limited, limit_per_s),
                    status=status,
                )
                load.run(9_000)
                for address in limited:
                    most = load.gateways.most_in_window(
                        address,
                        window_ms=bounds.WINDOW_MS,
                        from_ms=bounds.BINDING_AFTER_MS,
                    )
                    self.assertLessEqual(most, bounds.allowed(limit_per_s))

    def test_limits_of_all_servers_are_used(self):
        for gateway_count, limit_per_s in ((1, 1), (3, 1), (8, 1), (8, 2.5)):
            with self.subTest(gateways=gateway_count, limit=limit_per_s):
                load = Load(
                    gateway_count=gateway_count,
                    limits=dict.fromkeys(SERVERS, limit_per_s),
                )
                load.run(12_000)
                for address in SERVERS:
                    times_ms = [
                        at_ms
                        for at_ms, _, where in load.gateways.arrivals
                        if where == address
                        and at_ms >= bounds.BINDING_AFTER_MS
                    ]
                    self.assertGreaterEqual(
                        len(times_ms), LEAST_USED * limit_per_s * 9 - 1
                    )

    def test_requests_beyond_the_limits_go_to_other_servers(self):
        load = Load(gateway_count=3, limits={SERVERS[0]: 0.5})
        load.run(9000)
        self.assertEqual({200}, {one.status for one in load.exchanges})


class LimitedGatewayTest(unittest.TestCase):
    """One gateway that has been told of limits; it hears no other."""

    def setUp(self):
        self.rig = rig.Rig(configuration=test_forwarding.only_engines())
        self.rig.holder.peers = ('tcp://0',)

    @property
    def calls(self):
        return self.rig.caller.calls

    def limit(self, index, per_s, service='desk'):
        """Record a limit that a server has named."""
        server = self.rig.holder.members[f'{service}-{index}']
        self.rig.limits.record_answer(
            notices.key_of(server),
            per_s=per_s,
            sent_ms=self.rig.clock.now_ms(),
        )

    def limit_all(self, per_s, service='desk'):
        for index in range(3):
            self.limit(index, per_s, service)

    def test_request_on_its_way_takes_a_permit(self):
        self.rig.request(BOOKING)
        self.rig.request(BOOKING)
        self.rig.request(BOOKING)
        self.limit_all(1)
        self.assertFalse(self.calls[0].may_send())
        self.rig.advance(1000)
        self.assertTrue(self.calls[0].may_send())

    def test_limit_holds_until_an_answer_ends_it(self):
        self.limit_all(1)
        self.rig.advance(600_000)
        for _ in range(4):
            self.rig.request(BOOKING)
        self.assertEqual(3, len(self.calls))
        self.calls[0].answer(200, body=b'done')
        self.assertEqual(2, self.rig.limits.count)
        self.rig.advance(20)
        self.assertEqual(4, len(self.calls))
        self.assertEqual(self.calls[0].address, self.calls[3].address)

    def test_answers_that_say_nothing_of_the_limit(self):
        limit = ('server-limit', '1')
        unreadable = (*rig.SIGNED, ('server-limit', 'soon'))
        other = (('request-attempt-id', 'other'), limit)
        rows = (
            ('of another request', 200, other, None, None),
            ('misdirected', 421, (*rig.SIGNED, limit), None, None),
            ('not readable', 200, unreadable, None, None),
            ('not readable, limited', 200, unreadable, 4, 4),
            ('misdirected, limited', 421, rig.SIGNED, 4, 4),
        )
        for name, status, headers, before, after in rows:
            with self.subTest(name):
                self.setUp()
                if before:
                    self.limit_all(before)
                    self.rig.advance(1000)
                self.rig.request(BOOKING)
                address = self.calls[0].address
                self.rig.advance(1)
                self.calls[0].answer(status, headers=headers)
                key = notices.key_of(self.rig.server_at(address))
                self.assertEqual(after, self.rig.limits.limit_per_s(key))

    def test_refusals_and_streams_name_limits(self):
        rows = (
            (BOOKING, 503, (*rig.SIGNED, ('not-executed', '1'))),
            (STREAM, 200, rig.SIGNED),
            (BOOKING, 500, rig.SIGNED),
        )
        for path, status, headers in rows:
            with self.subTest(path=path, status=status):
                self.setUp()
                self.rig.request(path)
                call = self.calls[0]
                call.answer(
                    status,
                    headers=(*headers, ('server-limit', '2')),
                    ends=path != STREAM,
                )
                key = notices.key_of(self.rig.server_at(call.address))
                self.assertEqual(2, self.rig.limits.limit_per_s(key))

    def test_new_start_of_a_server_is_not_limited(self):
        self.limit_all(0.5)
        for server in list(self.rig.holder.members.values()):
            self.rig.holder.members[server.server_id] = attrs.evolve(
                server, incarnation='2'
            )
        for _ in range(5):
            self.rig.request(BOOKING)
        self.assertEqual(5, len(self.calls))

    def test_requests_wait_in_the_order_of_due_times(self):
        self.limit_all(10)
        late = self.rig.request(BOOKING)
        self.rig.advance(10)
        soon = self.rig.request(BOOKING, waited_ms=500)
        for _ in range(30):
            self.rig.advance(5)
        first, second = self.calls
        first.answer(200, body=b'done')
        self.assertEqual([200, None], [soon.status, late.status])
        second.answer(200, body=b'done')
        self.assertEqual(200, late.status)

    def test_callers_that_can_not_be_served_return_one_after_the_other(self):
        self.limit_all(1)
        exchanges = [self.rig.request(BOOKING) for _ in range(10)]
        refused = [one for one in exchanges if one.status is not None]
        self.assertEqual({503}, {one.status for one in refused})
        self.assertGreater(len(refused), 4)
        returns_s = [float(one.headers['retry-after']) for one in refused]
        gaps_s = [
            later - sooner
            for sooner, later in itertools.pairwise(sorted(returns_s))
        ]
        self.assertGreaterEqual(min(gaps_s), 0.3)
        self.assertEqual([], self.calls)

    def test_log_tells_who_was_refused_for_a_limit(self):
        self.limit_all(0.5)
        with self.assertLogs(test_forwarding.LOGGER, 'INFO') as logged:
            self.rig.request(BOOKING)
        [ended] = logged.records
        self.assertEqual(
            ('overloaded', 'server_limit'), (ended.outcome, ended.detail)
        )

    def test_limited_server_is_no_helper(self):
        self.limit(0, 100, 'llm')
        self.limit(1, 100, 'llm')
        self.rig.advance(1000)
        self.rig.request(STREAM, tokens=200_000)
        self.assertEqual('', self.calls[0].head.get('helpers'))

    def test_server_in_need_is_chosen_last(self):
        self.limit(0, 100)
        self.limit(1, 100)
        self.rig.advance(1000)
        self.rig.request(BOOKING)
        self.assertEqual(SERVERS[2], self.calls[0].address)
