"""Tests of refusals of requests that no server of their service may get."""

import json
import unittest

import attrs

from shallothinge.gateway.tests import rig
from shallothinge.gateway.tests import test_overdue_calls
from shallothinge.placement import free_slots

STREAM = '/lohu930/1'
SEARCH = test_overdue_calls.SEARCH
BOOKING = test_overdue_calls.BOOKING
HEARTBEAT_MS = 1000
USUAL_RETURN_MS = 2000


def withdraw(rig, *server_ids):
    for server_id in server_ids:
        server = rig.holder.members[server_id]
        rig.holder.members[server_id] = attrs.evolve(server, leaving=True)


def unlist(rig, *server_ids):
    for server_id in server_ids:
        del rig.holder.members[server_id]


def record_departure(rig, *server_ids):
    rig.holder.left_ids.update(server_ids)


def announce_leave(rig, *server_ids):
    for server_id in server_ids:
        rig.parts.servers.record_notices(
            rig.holder.members[server_id], is_leaving=True, pause_ms=0
        )


def take_out(rig, *server_ids):
    out = (*rig.holder.config.servers_out, *server_ids)
    rig.holder.config = attrs.evolve(rig.holder.config, servers_out=out)


def take_zone_out(rig, *server_ids):
    """Take the zones of servers out of service."""
    zones = {rig.holder.members[server_id].zone for server_id in server_ids}
    rig.holder.config = attrs.evolve(
        rig.holder.config, zones_out=tuple(sorted(zones))
    )


def pause(pause_ms):
    def pause_servers(rig, *server_ids):
        rig.parts.servers.sync_members()
        for server_id in server_ids:
            rig.parts.servers.record_notices(
                rig.holder.members[server_id],
                is_leaving=False,
                pause_ms=pause_ms,
            )

    return pause_servers


ABSENCES = (withdraw, unlist, record_departure, announce_leave)
OUTAGES = (take_out, take_zone_out)


class UnplacedTest(unittest.TestCase):
    """Requests of a plain service whose last servers can't get work."""

    def setUp(self):
        self.build()

    def build(self, *, server_count=2):
        self.rig = rig.Rig(
            configuration=test_overdue_calls.configuration(), server_count=0
        )
        for index in range(server_count):
            self.rig.add_server('desk', index, zone=f'z{index + 1}')

    @property
    def calls(self):
        return self.rig.caller.calls

    def assert_refused(self, exchange, return_ms, *, error=None, detail=None):
        """Check a refusal that states that the request did not run."""
        self.assertEqual(503, exchange.status)
        after_s = float(exchange.headers['retry-after'])
        self.assertEqual(return_ms, round(after_s * 1000))
        content = json.loads(exchange.received)
        if error is not None:
            self.assertEqual(error, content['error'])
        if detail is not None:
            self.assertEqual(detail, content.get('detail'))

    def test_refusal_comes_at_once_with_the_time_of_return(self):
        """Callers waited, or came back long after a server was there."""
        first, second = 'desk-0', 'desk-1'
        gone, paused = 'no_backend_server', 'overloaded'
        rows = (
            # what befalls the servers, retry-after, error
            *(
                (((absence, first), (absence, second)), USUAL_RETURN_MS, gone)
                for absence in ABSENCES
            ),
            *(
                (((absence, first), (outage, second)), HEARTBEAT_MS, gone)
                for absence in ABSENCES
                for outage in OUTAGES
            ),
            *(
                (((outage, first, second),), HEARTBEAT_MS, gone)
                for outage in OUTAGES
            ),
            *(
                (((absence, first), (pause(700), second)), 700, paused)
                for absence in (*ABSENCES, *OUTAGES)
            ),
            (((pause(700), first), (pause(300), second)), 300, paused),
            # The pause of a server that is gone or out tells nothing.
            *(
                (
                    (
                        (pause(300), first),
                        (absence, first),
                        (absence, second),
                    ),
                    return_ms,
                    gone,
                )
                for absence, return_ms in (
                    (withdraw, USUAL_RETURN_MS),
                    (announce_leave, USUAL_RETURN_MS),
                    (take_out, HEARTBEAT_MS),
                )
            ),
        )
        for path in (SEARCH, BOOKING):
            for steps, return_ms, error in rows:
                names = [step.__name__ for step, *_ in steps]
                with self.subTest(path, steps=names):
                    self.build()
                    for step, *server_ids in steps:
                        step(self.rig, *server_ids)
                    exchange = self.rig.request(path)
                    self.assert_refused(exchange, return_ms, error=error)
                    self.assertEqual([], self.calls)

    def test_log_and_refusal_tell_what_is_missing(self):
        for step, detail in (
            (unlist, 'servers listed: 0'),
            (withdraw, 'servers listed: 2, 2 leaving'),
            (take_zone_out, 'servers listed: 2, 2 out of service'),
            (pause(700), 'servers listed: 2, 2 pausing'),
        ):
            with self.subTest(detail=detail):
                self.build()
                step(self.rig, 'desk-0', 'desk-1')
                with self.assertLogs(test_overdue_calls.LOGGER) as logged:
                    exchange = self.rig.request(SEARCH)
                content = json.loads(exchange.received)
                self.assertEqual(detail, content['detail'])
                self.assertEqual(detail, logged.records[-1].detail)

    def test_request_that_waits_is_refused_when_the_last_server_goes(self):
        for step, return_ms in (
            (withdraw, USUAL_RETURN_MS),
            (take_zone_out, HEARTBEAT_MS),
            (pause(700), 700 - 20),
        ):
            with self.subTest(step=step.__name__):
                self.build(server_count=1)
                for _ in range(8 * free_slots.MAX_REQUESTS_PER_SLOT):
                    self.rig.load.start(self.rig.work_at('desk-0'))
                exchange = self.rig.request(BOOKING)
                self.rig.advance(10)
                self.assertIsNone(exchange.status)
                step(self.rig, 'desk-0')
                self.rig.advance(20)
                self.assertEqual(503, exchange.status)
                after_s = float(exchange.headers['retry-after'])
                self.assertAlmostEqual(return_ms, 1000 * after_s, delta=20)

    def test_request_that_did_not_run_is_refused_after_its_last_server(self):
        """The pause of another server tells when to come back."""

        def fail_unsent(call):
            call.fail(was_sent=False)

        def refuse(call):
            call.refuse()

        for path in (SEARCH, BOOKING):
            for fail in (fail_unsent, refuse):
                for paused_ms, return_ms in (
                    (0, USUAL_RETURN_MS),
                    (700, 700),
                ):
                    with self.subTest(
                        path, fail=fail.__name__, paused_ms=paused_ms
                    ):
                        self.build()
                        step = pause(paused_ms) if paused_ms else withdraw
                        step(self.rig, 'desk-1')
                        exchange = self.rig.request(path)
                        fail(self.calls[0])
                        self.assert_refused(exchange, return_ms)
                        self.assertEqual(1, len(self.calls))

    def test_request_that_may_have_run_is_not_refused_as_not_run(self):
        for path, error in (
            (SEARCH, 'backend_failed'),
            (BOOKING, 'outcome_unknown'),
        ):
            for step in (withdraw, take_zone_out, pause(700)):
                with self.subTest(path, step=step.__name__):
                    self.build(server_count=1)
                    exchange = self.rig.request(path)
                    step(self.rig, 'desk-0')
                    self.calls[0].fail(was_sent=True)
                    self.assertEqual(502, exchange.status)
                    content = json.loads(exchange.received)
                    self.assertEqual(error, content['error'])

    def test_call_goes_on_at_a_server_that_is_withdrawn(self):
        for step in (*ABSENCES, *OUTAGES):
            with self.subTest(step=step.__name__):
                self.build(server_count=1)
                exchange = self.rig.request(SEARCH)
                step(self.rig, 'desk-0')
                for _ in range(30):
                    self.rig.advance(10)
                self.calls[0].answer(200, body=b'done')
                self.assertEqual(b'done', exchange.received)

    def test_servers_of_a_new_leader_are_waited_for_a_moment(self):
        """Servers announce themselves to it within a heartbeat."""
        self.build(server_count=0)
        self.rig.holder.is_settled = False
        exchange = self.rig.request(SEARCH)
        self.assertIsNone(exchange.status)
        for _ in range(test_overdue_calls.LIMIT_MS // 5 // 10 + 2):
            self.rig.advance(10)
        self.assert_refused(exchange, HEARTBEAT_MS)
