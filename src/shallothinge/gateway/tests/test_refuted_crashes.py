"""Tests of gateways whose servers reset single connections and go on."""

import unittest

import attrs

from shallothinge.gateway.tests import rig
from shallothinge.gateway.tests import test_quarantine
from shallothinge.quarantine import crash_table
from shallothinge.quarantine import suspects

EVENT = test_quarantine.EVENT
REQUEST = {'prompt-prefix': 'aa:40,c1:1000', 'body': b'sound'}
SHARED = {'prompt-prefix': 'aa:40,c1:1000'}
OTHERS = {'prompt-prefix': 'zz:9'}
MISDIRECTED = (('request-attempt-id', rig.REQUEST_ID),)


class ResetConnectionsTest(test_quarantine.FleetTestCase):
    """A request whose connections are reset, beside streams of others."""

    def setUp(self):
        self.make(count=3, stream={'attempts': 1})
        self.open = {}

    def ask_at(self, index, server_id, fields):
        """Send a request to a certain server; return exchange and call."""
        holder = self.rigs[index].holder
        members, holder.members = (
            holder.members,
            {server_id: holder.members[server_id]},
        )
        exchange, calls = self.ask(index, fields)
        holder.members = members
        [call] = calls()
        return exchange, call

    def open_streams(self, index, *, is_begun=True):
        """Let a gateway have an open connection to each server."""
        for number in range(3):
            self.open_stream(index, f'llm-{number}', is_begun=is_begun)

    def open_stream(self, index, server_id, *, is_begun=True):
        """Let a gateway have an open connection to a server."""
        exchange, call = self.ask_at(index, server_id, OTHERS)
        if is_begun:
            call.answer(200, body=EVENT, ends=False)
        self.open[call.address] = (exchange, call)

    def reset(self, call, prove):
        """Reset a connection; let the server show that it goes on."""
        self.advance(test_quarantine.MOMENT_MS)
        call.fail(was_sent=True)
        self.exchange()
        self.advance(crash_table.IN_FLIGHT_MS)
        prove(call)
        self.judge()

    def judge(self):
        self.exchange()
        self.advance(suspects.SETTLE_MS)
        for one in self.rigs:
            one.parts.quarantine.judge()
        self.exchange()
        self.advance(20)

    def ask_and_reset(self, fields, prove):
        """Let requests be reset at three servers."""
        for number in range(3):
            _, call = self.ask_at(number, f'llm-{number}', fields)
            self.reset(call, prove)

    def assertServed(self, wanted, fields):
        """Check whether all gateways send a request to servers."""
        for index in range(3):
            exchange, calls = self.ask(index, fields)
            self.assertEqual(wanted, bool(calls()), f'gateway {index}')
            self.assertEqual(None if wanted else 503, exchange.status)

    def test_request_is_served_although_its_connections_are_reset(self):
        # Sound requests were refused for ten minutes after three resets.
        def event(call):
            call.listener.on_data(b'data: 2\n\n')

        def part_of_event(call):
            call.listener.on_data(b'da')

        def head(call):
            call.answer(200, ends=False)

        def error_answer(call):
            call.answer(500)

        def refusal(call):
            call.refuse()

        rows = (
            (event, True),
            (part_of_event, True),
            (head, False),
            (error_answer, False),
            (refusal, False),
        )
        for prove, is_begun in rows:
            for fields in (REQUEST, SHARED):
                for index in range(3):
                    with self.subTest(prove.__name__, reader=index, **fields):
                        self.setUp()
                        self.open_streams(index, is_begun=is_begun)

                        self.open_streams(index, is_begun=is_begun)
                        self.ask_and_reset(
                            fields,
                            lambda call, prove=prove: prove(
                                self.open[call.address][1]
                            ),
                        )
                        self.assertServed(True, fields)

    def test_what_shows_nothing_refutes_no_crash(self):
        # A crash that is refuted falsely lets a deadly request go on.
        def opened_later(_, call):
            self.open_stream(0, call.head.get('expected-instance'))
            _, later = self.open[call.address]
            later.listener.on_data(b'data: 2\n\n')

        def paused_meanwhile(exchange, call):
            exchange.flow.pauseProducing()
            call.listener.on_data(b'data: 2\n\n')
            exchange.flow.resumeProducing()
            call.listener.on_data(b'data: 3\n\n')

        def misdirected(_, call):
            call.answer(421, headers=MISDIRECTED)

        def restarted(_, call):
            for one in self.rigs:
                server = one.server_at(call.address)
                one.holder.members[server.server_id] = attrs.evolve(
                    server, incarnation=server.incarnation + '1'
                )
                one.parts.servers.sync_members()
            call.listener.on_data(b'data: 2\n\n')

        def closed(_, call):
            call.end(by_close=True)

        rows = (
            (opened_later, True),
            (paused_meanwhile, True),
            (misdirected, False),
            (restarted, True),
            (closed, True),
        )
        for prove, is_begun in rows:
            with self.subTest(prove.__name__):
                self.setUp()
                self.open_streams(0, is_begun=is_begun)
                self.ask_and_reset(
                    REQUEST,
                    lambda call, prove=prove: prove(*self.open[call.address]),
                )
                self.assertServed(False, REQUEST)

    def test_quarantine_by_resets_ends_with_the_next_data(self):
        self.open_streams(2)
        self.ask_and_reset(REQUEST, lambda call: None)
        self.assertServed(False, REQUEST)
        for _, call in self.open.values():
            call.listener.on_data(b'data: 2\n\n')
        self.judge()
        self.assertServed(True, REQUEST)


if __name__ == '__main__':
    unittest.main()
