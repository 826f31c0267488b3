"""Tests that a periodic step which raised is run again."""

import unittest
from unittest import mock

from twisted.internet import task

from shallothinge import clock
from shallothinge import periodic
from shallothinge.leases import client
from shallothinge.transport import link


class RunTest(unittest.TestCase):
    """One step."""

    def test_exceptions_are_counted_and_some_are_logged(self):
        failures = periodic.Failures()
        step = mock.Mock(side_effect=RuntimeError('injected'))
        with (
            mock.patch.object(periodic, 'FAILURES', failures),
            self.assertLogs('shallothinge.periodic') as logs,
        ):
            for _ in range(9):
                periodic.run(step)
        self.assertEqual(9, failures.count)
        self.assertEqual(
            [1, 2, 4, 8], [line.failure_count for line in logs.records]
        )
        self.assertIn('injected', logs.output[0])


class StepsTest(unittest.TestCase):
    """Steps of processes that schedule themselves."""

    def advance(self, reactor, seconds, step_s=0.05):
        reactor.pump([step_s] * round(seconds / step_s))

    def test_control_client_goes_on_after_an_exception(self):
        # Its lease ended for good, or its requests were never sent again.
        for name in ('_send_renewal', '_send_pending', '_close_idle_links'):
            with self.subTest(name):
                reactor = task.Clock()
                process = mock.Mock(reactor=reactor)
                process.clock = clock.ManualClock()
                holder = mock.Mock(**{'is_valid.return_value': False})
                asking = client.ControlClient(
                    process=process,
                    hosts=(mock.Mock(process_id='c1', address='tcp://c1'),),
                    holder=holder,
                )
                step = mock.Mock()
                with mock.patch.object(asking, name, step):
                    if name == '_send_pending':
                        asking.send_request(
                            mock.Mock(request_id='r'), timeout_ms=10_000
                        )
                    step.side_effect = RuntimeError('injected')
                    asking.start()
                    self.advance(reactor, 2)
                    self.assertGreater(step.call_count, 2)

    def test_link_goes_on_after_an_exception(self):
        reactor = task.Clock()
        with mock.patch.object(link.Link, '_connect', mock.Mock()):
            opened = link.Link(
                reactor=reactor,
                context=None,
                address='tcp://a',
                server_key=b'',
                key_pair=None,
                hello=None,
                codec=None,
                clock=clock.ManualClock(),
                on_message=mock.Mock(),
            )
        step = mock.Mock(side_effect=RuntimeError('injected'))
        with mock.patch.object(opened, '_ping_or_reconnect', step):
            self.advance(reactor, 5)
        self.assertGreater(step.call_count, 2)
