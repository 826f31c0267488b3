"""Tests that exceptions while a request is forwarded end in an answer."""

import unittest
from unittest import mock

from shallothinge.gateway import policy
from shallothinge.gateway import servers
from shallothinge.gateway.tests import rig
from shallothinge.gateway.tests import test_forwarding
from shallothinge.placement import fleet
from shallothinge.platform import dialect

BOOKING = test_forwarding.BOOKING
STREAM = test_forwarding.STREAM
# Less than any time limit of the routes.
SOON_MS = 1300


def wait_for_servers(play):
    """Let a request wait for servers, then list one."""
    play.holder.members.clear()
    play.holder.is_settled = False
    exchange = play.request(STREAM)
    play.add_server('llm', 0)
    return exchange


def placed(play, target=STREAM):
    """Send a request and let its connection be established."""
    exchange = play.request(target)
    play.caller.calls[0].may_send()
    return exchange


def begun(play):
    """Begin the answer of a stream."""
    exchange = placed(play)
    play.caller.calls[0].answer(200, body=test_forwarding.event(1), ends=False)
    return exchange


def ended(play):
    """End a stream."""
    play.caller.calls[0].end()


def next_event(play):
    """Send the next event of a stream."""
    play.caller.calls[0].listener.on_data(test_forwarding.event(2))


def answered(play):
    """Answer a booking."""
    play.caller.calls[0].answer(200, body=b'done')


def broken(play):
    """Break the connection to the server."""
    play.caller.calls[0].fail(was_sent=True)


def not_connected(play):
    """Fail to connect to the server."""
    play.caller.calls[0].fail(was_sent=False)


def time_passes(play):
    """Let timers run."""
    play.advance(SOON_MS)


def deadline_passes(play):
    """Let the time limit pass."""
    play.advance(10_000)


# Each step that a timer or a connection starts: what comes before, what
# starts it, the attribute that raises an exception, and the status.
STEPS = (
    (
        'placement by a timer',
        wait_for_servers,
        time_passes,
        (servers.Servers, 'take_permit'),
        503,
    ),
    (
        'sending by a timer',
        wait_for_servers,
        time_passes,
        (dialect.PlatformDialect, 'write_request'),
        500,
    ),
    (
        'deadline',
        lambda play: placed(play, BOOKING),
        deadline_passes,
        (policy, 'deadline_error'),
        500,
    ),
    (
        'head',
        placed,
        lambda play: play.caller.calls[0].answer(200, ends=False),
        (dialect.PlatformDialect, 'read_answer'),
        500,
    ),
    ('event', begun, next_event, (fleet.FleetLoad, 'first_event'), None),
    (
        'passing on',
        begun,
        next_event,
        (servers.Servers, 'record_activity'),
        None,
    ),
    (
        'end of a stream',
        begun,
        ended,
        (servers.Servers, 'record_success'),
        None,
    ),
    (
        'answer',
        lambda play: placed(play, BOOKING),
        answered,
        (servers.Servers, 'record_success'),
        500,
    ),
    (
        'failure',
        lambda play: placed(play, BOOKING),
        broken,
        (servers.Servers, 'record_failure'),
        500,
    ),
    (
        'failure before it was sent',
        lambda play: play.request(BOOKING),
        not_connected,
        (servers.Servers, 'record_failure'),
        503,
    ),
    ('repeat', begun, broken, (servers.Servers, 'candidates'), None),
    ('stall', begun, time_passes, (servers.Servers, 'record_stall'), None),
)


class StepFaultTest(unittest.TestCase):
    """An exception in any step ends the request at once."""

    def test_exception_ends_in_a_true_status_or_a_cut_answer(self):
        for name, before, start, (place, attribute), status in STEPS:
            with self.subTest(name):
                play = rig.Rig(configuration=test_forwarding.only_engines())
                exchange = before(play)
                raises = mock.Mock(side_effect=RuntimeError('injected'))
                with (
                    mock.patch.object(place, attribute, raises),
                    self.assertLogs(level='ERROR') as logs,
                ):
                    start(play)
                self.assertIn('injected', logs.output[0])
                self.assertTrue(exchange.is_ended)
                self.assertEqual(status is None, exchange.is_cut)
                if status is not None:
                    self.assertEqual(status, exchange.status)
                self.assertEqual({}, play.load.loads())
                self.assertEqual([], play.reactor.getDelayedCalls())

    def test_exception_in_the_record_of_an_end_leaves_no_silent_end(self):
        # Guards against a reset: the end was recorded, but not answered.
        rows = (
            ('refusal', wait_for_servers, deadline_passes, 503),
            ('deadline', placed, deadline_passes, 500),
            ('answer', lambda play: placed(play, BOOKING), answered, 500),
        )
        for name, before, start, status in rows:
            with self.subTest(name):
                play = rig.Rig(configuration=test_forwarding.only_engines())
                exchange = before(play)
                play.holder.members.clear()
                play.parts.metrics.count_request = mock.Mock(
                    side_effect=RuntimeError('injected')
                )
                with self.assertLogs(level='ERROR'):
                    start(play)
                self.assertTrue(exchange.is_whole)
                self.assertEqual(status, exchange.status)
                self.assertEqual([], play.reactor.getDelayedCalls())
