"""Tests of configuration changes while a request is under way."""

import unittest

import hypothesis
from hypothesis import strategies

from shallothinge.gateway.tests import rig
from shallothinge.gateway.tests import test_forwarding
from shallothinge.platform.tests import samples

BOOKING = test_forwarding.BOOKING
STREAM = test_forwarding.STREAM
TARGETS = (STREAM, BOOKING)
# Longer than any request may take.
ALL_OVER_MS = 40_000


def configuration(*, version, stream=(), booking=(), **fields):
    """Return routes whose fields are changed; None removes a route."""
    made = {**test_forwarding.only_engines(), 'version': version, **fields}
    made['routes'] = [
        {**route, **dict(changes)}
        for route, changes in zip(made['routes'], (stream, booking))
        if changes is not None
    ]
    return made


class TimeLimitTest(unittest.TestCase):
    """A request keeps the route that it was accepted with."""

    def setUp(self):
        self.rig = rig.Rig(configuration=configuration(version=7))

    def keep_sending(self, exchange, *, until_ms):
        """Send an event each 100 ms; return when the stream ended."""
        number = 1
        self.rig.caller.calls[0].answer(200, ends=False)
        while self.rig.clock.now_ms() < until_ms and not exchange.is_ended:
            if not self.rig.caller.calls[0].is_cancelled:
                self.rig.caller.calls[0].listener.on_data(
                    test_forwarding.event(number)
                )
            number += 1
            self.rig.advance(100)
        return self.rig.clock.now_ms() - exchange.received_ms

    def test_stream_keeps_the_time_limit_of_its_arrival(self):
        cases = (
            ('longer', {'timeout-ms': 30_000}),
            ('shorter', {'timeout-ms': 3000}),
            ('removed', None),
            ('moved', {'service': 'desk'}),
        )
        for name, changes in cases:
            with self.subTest(name):
                self.setUp()
                exchange = self.rig.request(STREAM, deadline_ms=60_000)
                self.rig.advance(100)
                self.rig.configure(configuration(version=8, stream=changes))
                self.rig.request(BOOKING)
                ended_ms = self.keep_sending(exchange, until_ms=20_000)
                self.assertTrue(exchange.is_cut)
                self.assertAlmostEqual(10_000, ended_ms, delta=200)
                self.assertTrue(self.rig.caller.calls[0].is_cancelled)

    def test_waiting_request_keeps_the_time_limit_of_its_arrival(self):
        for timeout_ms in (500, 30_000):
            with self.subTest(timeout_ms=timeout_ms):
                self.setUp()
                exchange = self.rig.request(BOOKING)
                self.rig.configure(
                    configuration(
                        version=8, booking={'timeout-ms': timeout_ms}
                    )
                )
                self.rig.advance(1400)
                self.assertFalse(exchange.is_ended)
                self.rig.advance(200)
                self.assertEqual(504, exchange.status)

    def test_request_that_arrives_after_a_change_has_the_new_time_limit(self):
        self.rig.configure(
            configuration(version=8, booking={'timeout-ms': 500})
        )
        exchange = self.rig.request(BOOKING)
        self.rig.advance(600)
        self.assertEqual(504, exchange.status)

    def test_server_is_given_no_more_time_after_a_longer_limit(self):
        self.rig.request(STREAM, deadline_ms=60_000)
        self.rig.advance(2000)
        self.rig.configure(
            configuration(version=8, stream={'timeout-ms': 30_000})
        )
        self.rig.caller.calls[0].fail(was_sent=True)
        given = self.rig.caller.calls[1].head.get('deadline-milliseconds')
        self.assertEqual('8000', given)

    def test_stream_is_resumed_by_its_own_service_after_a_move(self):
        for changes in (None, {'service': 'desk'}):
            with self.subTest(changes=changes):
                self.setUp()
                exchange = self.rig.request(STREAM)
                first = self.rig.caller.calls[0]
                first.answer(200, body=test_forwarding.event(1), ends=False)
                self.rig.configure(configuration(version=8, stream=changes))
                first.fail(was_sent=True)
                self.assertFalse(exchange.is_ended)
                server = self.rig.server_at(self.rig.caller.calls[1].address)
                self.assertEqual(('llm',), server.services)


ROUTE_CHANGES = strategies.one_of(
    strategies.none(),
    strategies.fixed_dictionaries(
        {},
        optional={
            'timeout-ms': strategies.sampled_from((1, 200, 3000, 30_000)),
            'service': strategies.sampled_from(('llm', 'desk', 'new')),
            'attempts': strategies.sampled_from((1, 2, 3)),
            'target-latency-ms': strategies.sampled_from((1, 300, 5000)),
            'target-gap-ms': strategies.sampled_from((1, 250)),
            'resume-streams': strategies.booleans(),
            'traffic-split': strategies.sampled_from(
                (
                    [
                        {'service': 'llm', 'weight': 0},
                        {'service': 'new', 'weight': 1},
                    ],
                    [
                        {'service': 'desk', 'weight': 3},
                        {'service': 'llm', 'weight': 1},
                    ],
                )
            ),
        },
    ),
)
TENANTS = strategies.sampled_from(
    (
        [],
        [{'name': 'w9', 'api-keys': ['k1']}],
        samples.CONFIGURATION['tenants'],
    )
)
SERVERS = tuple(
    f'{service}-{index}' for service in ('llm', 'desk') for index in range(3)
)
STEPS = strategies.one_of(
    strategies.tuples(
        strategies.just('configure'), ROUTE_CHANGES, ROUTE_CHANGES, TENANTS
    ),
    strategies.tuples(
        strategies.just('request'),
        strategies.sampled_from(TARGETS),
        strategies.sampled_from((0, 100, 20_000, 300_000)),
        strategies.sampled_from((100, 5000, 60_000)),
    ),
    strategies.tuples(
        strategies.just('advance'),
        strategies.sampled_from((1, 20, 300, 1200, 2100)),
    ),
    strategies.tuples(
        strategies.just('server'),
        strategies.sampled_from(SERVERS),
        strategies.booleans(),
    ),
    strategies.tuples(strategies.just('lease'), strategies.booleans()),
    strategies.tuples(strategies.just('settled'), strategies.booleans()),
    strategies.tuples(
        strategies.just('answer'),
        strategies.integers(0, 9),
        strategies.sampled_from(
            ('connect', 'event', 'end', 'refuse', 'break', 'fail', 'error')
        ),
    ),
)


class Play:
    """Plays drawn steps on a rig."""

    def __init__(self):
        self.rig = rig.Rig(configuration=configuration(version=7))
        self.version = 7
        self.exchanges = []
        self.open_calls = {}

    def play(self, step):
        """Play one step."""
        name, *arguments = step
        getattr(self, name)(*arguments)

    def configure(self, stream, booking, tenants):
        """Apply a changed configuration."""
        self.version += 1
        services = [*samples.CONFIGURATION['services'], {'name': 'new'}]
        self.rig.configure(
            configuration(
                version=self.version,
                stream=stream,
                booking=booking,
                services=services,
                tenants=tenants,
            )
        )

    def request(self, target, tokens, deadline_ms):
        """Send a request."""
        self.exchanges.append(
            self.rig.request(target, tokens=tokens, deadline_ms=deadline_ms)
        )

    def advance(self, duration_ms):
        """Let time pass."""
        self.rig.advance(duration_ms)

    def server(self, server_id, is_listed):
        """List a server, or take it off the list."""
        service, _, index = server_id.partition('-')
        if is_listed:
            self.rig.add_server(service, int(index))
        else:
            self.rig.holder.members.pop(server_id, None)

    def lease(self, is_leased):
        """Give or take the lease."""
        self.rig.holder.is_leased = is_leased

    def settled(self, is_settled):
        """Set whether the leader knows all servers."""
        self.rig.holder.is_settled = is_settled

    def answer(self, index, kind):
        """Let a server answer one of the calls."""
        calls = [
            call
            for call in self.rig.caller.calls
            if not call.is_cancelled
            and self.open_calls.get(id(call)) != 'done'
        ]
        if not calls:
            return
        call = calls[index % len(calls)]
        events = self.open_calls.get(id(call), 0)
        if kind == 'connect':
            if events == 0 and call.may_send is not None:
                if not call.may_send():
                    self.open_calls[id(call)] = 'done'
                    call.fail(was_sent=False)
            return
        if kind == 'event':
            self.open_calls[id(call)] = events + 1
            if not events:
                call.answer(200, ends=False)
            if not call.is_cancelled:
                call.listener.on_data(test_forwarding.event(events + 1))
            return
        self.open_calls[id(call)] = 'done'
        if kind == 'end':
            if events:
                call.end()
            else:
                call.answer(200, body=b'done')
        elif kind == 'break' or events:
            call.fail(was_sent=True)
        elif kind == 'fail':
            call.fail(was_sent=False)
        elif kind == 'refuse':
            call.refuse()
        else:
            call.answer(500, body=b'error')


class EveryRequestEndsTest(unittest.TestCase):
    """A request that was read is answered, refused or cut, never dropped."""

    @hypothesis.settings(max_examples=300, derandomize=True, deadline=None)
    @hypothesis.given(steps=strategies.lists(STEPS, max_size=25))
    def test_request_ends_once_beside_configuration_changes(self, steps):
        play = Play()
        with self.assertNoLogs(level='ERROR'):
            for step in steps:
                play.play(step)
            play.advance(ALL_OVER_MS)
        for exchange in play.exchanges:
            self.assertTrue(exchange.is_ended)
            self.assertFalse(exchange.is_whole and exchange.status is None)
            self.assertTrue(exchange.is_whole or exchange.is_begun)
        self.assertEqual({}, play.rig.load.loads())
        self.assertEqual(0, play.rig.parts.waiting.count)
