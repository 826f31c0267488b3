"""Tests of the soak's own judgement and plans, and a short soak."""

import asyncio
import json
import pathlib
import random
import signal
import socket
import tempfile
import time
import unittest
from unittest import mock

import attrs

from shallothinge.platform import routes as platform_routes
from testing.soak import backend
from testing.soak import checks
from testing.soak import connections
from testing.soak import deployment
from testing.soak import ends
from testing.soak import failures
from testing.soak import faults
from testing.soak import injection
from testing.soak import limits
from testing.soak import notices
from testing.soak import operator
from testing.soak import orders as zone_orders
from testing.soak import relay
from testing.soak import resets
from testing.soak import rounds
from testing.soak import run
from testing.soak import silences
from testing.soak import tables
from testing.soak import wire

BOOKING = '/desk/book/1'
STREAM = '/llm/stream/1'
SENT_MS = 100_000
TARGETS = {
    'control': ['control-1', 'control-2', 'control-3'],
    'gateway': ['gateway-1', 'gateway-2'],
    'backend': ['backend-1', 'backend-2'],
}
# A seed whose plan kills, freezes, wipes and cuts within five seconds.
SHORT_SEED = 1
SHORT_S = 5.0
# A seed whose rounds replace the leader as planned, then lose a disk.
ROUNDS_SEED = 37
ROUNDS_S = 1.0
ROUND_COUNT = 2
# How long a process takes to start and to end that gets no processor.
SLOW_S = 0.4


def asked(**fields):
    target = fields.get('target', BOOKING)
    body = wire.body_of(target)
    if target == STREAM:
        body = wire.whole_stream(target)
    return checks.Asked(
        **{
            'request_id': 'r1',
            'gateway': 'gateway-1',
            'target': target,
            'is_repeatable': target != BOOKING,
            'api_key': 'k',
            'sent_ms': SENT_MS,
            'deadline_ms': 1500,
            'took_ms': 100,
            'status': 200,
            'is_signed': True,
            'body': body,
            **fields,
        }
    )


def ran(**fields):
    return checks.Run(
        **{
            'server_id': 's1',
            'request_id': 'r1',
            'target': BOOKING,
            'workspace': 'w1',
            'at_ms': SENT_MS,
            **fields,
        }
    )


class ChecksTest(unittest.TestCase):
    """What the soak lets pass, and what not."""

    def found(self, one, *runs, revoked=None):
        return checks.check(
            asked=[one], runs=[*runs], revoked=revoked or {}, late=[]
        )

    def test_what_is_allowed(self):
        cut = asked(target=STREAM, status=None, body=b'')
        rows = (
            ('answered', asked(), (ran(),)),
            ('whole stream', asked(target=STREAM), (ran(target=STREAM),)),
            ('cut stream', cut, (ran(target=STREAM),) * 2),
            ('refused, not run', asked(status=503, is_signed=False), ()),
            ('outcome unknown', asked(status=502), (ran(),)),
            ('held up', asked(took_ms=9000, was_disturbed=True), (ran(),)),
        )
        for name, one, runs in rows:
            with self.subTest(name):
                self.assertEqual([], self.found(one, *runs))

    def test_what_is_not_allowed(self):
        half = wire.event_of(STREAM, 1)
        rows = (
            ('no signature', asked(is_signed=False), (ran(),)),
            ('cut, looks whole', asked(target=STREAM, body=half), ()),
            ('ran twice', asked(), (ran(), ran())),
            ('refused, but ran', asked(status=503), (ran(),)),
            (
                'refused and may run again, but ran',
                asked(target=STREAM, status=503),
                (ran(target=STREAM),),
            ),
            ('held too long', asked(took_ms=2600, status=504), ()),
            ('nobody asked', asked(), (ran(request_id='r2'),)),
            ('another target', asked(), (ran(target='/desk/book/2'),)),
        )
        for name, one, runs in rows:
            with self.subTest(name):
                self.assertEqual(1, len(self.found(one, *runs)))

    def test_caller_that_was_held_up_itself_saw_no_late_answer(self):
        one = asked(took_ms=3000, status=504)
        for name, count, *hold_ups in (
            ('as it read', 0, (1800, 2990)),
            ('as it sent', 0, (10, 800)),
            ('as it sent and read', 0, (10, 300), (2700, 3010)),
            ('too short', 1, (2600, 2990)),
            ('meanwhile', 1, (200, 2000)),
            ('before and after', 1, (-2000, 0), (3000, 9000)),
            ('never', 1),
        ):
            with self.subTest(name):
                found = checks.check(
                    asked=[one],
                    runs=[],
                    revoked={},
                    late=[],
                    hold_ups=[
                        (SENT_MS + from_ms, SENT_MS + until_ms)
                        for from_ms, until_ms in hold_ups
                    ],
                )
                self.assertEqual(count, len(found), found)

    def test_key_that_was_taken_away_binds_after_five_seconds(self):
        for taken_ms, count in ((SENT_MS - 4000, 0), (SENT_MS - 6000, 1)):
            with self.subTest(taken_ms=taken_ms):
                found = self.found(asked(), ran(), revoked={'k': taken_ms})
                self.assertEqual(count, len(found))

    def test_request_that_reaches_a_server_after_it_left(self):
        late = checks.Late(server_id='s1', request_id='r1', after_ms=2100)
        found = checks.check(
            asked=[asked()], runs=[ran()], revoked={}, late=[late]
        )
        self.assertEqual(1, len(found))

    def found_of_notices(
        self,
        arrived_ms,
        *,
        pause_ms=None,
        told_sent_ms=SENT_MS,
        told_ended_ms=SENT_MS + 100,
        told_status=200,
        **fields,
    ):
        """Return what is found where requests arrive after a notice."""
        told = asked(
            request_id='told',
            sent_ms=told_sent_ms,
            took_ms=told_ended_ms - told_sent_ms,
            status=told_status,
        )
        later = [
            asked(request_id=f'r{at_ms}', sent_ms=at_ms - 10)
            for at_ms in arrived_ms
        ]
        return notices.check(
            asked=[told, *later],
            notices=[
                notices.Notice(
                    server_id='backend-1-1700',
                    request_id='told',
                    at_ms=SENT_MS,
                    pause_ms=pause_ms,
                )
            ],
            arrivals=[
                notices.Arrival(
                    server_id='backend-1-1700',
                    request_id=one.request_id,
                    at_ms=one.sent_ms + 10,
                )
                for one in later
            ],
            **{'disturbances': [], 'cuts': [], **fields},
        )

    def test_server_that_has_told_a_gateway_that_it_leaves(self):
        for after_ms, count in ((-500, 0), (2010, 0), (2011, 1), (9000, 1)):
            with self.subTest(after_ms=after_ms):
                found = self.found_of_notices([SENT_MS + after_ms])
                self.assertEqual(count, len(found))

    def test_server_that_has_asked_for_a_pause(self):
        pause = [SENT_MS + after_ms for after_ms in (600, 800, 1500)]
        rows = (
            (pause[:2], 0),
            (pause, 1),
            ([SENT_MS + 100, *pause[:2]], 0),
            ([*pause[:2], SENT_MS + 2100], 0),
        )
        for arrived_ms, count in rows:
            with self.subTest(arrived_ms=arrived_ms):
                found = self.found_of_notices(arrived_ms, pause_ms=2000)
                self.assertEqual(count, len(found))

    def test_gateway_that_was_restarted_need_not_know_what_it_was_told(self):
        for name, count in (('gateway-1', 0), ('gateway-2', 1)):
            with self.subTest(name):
                found = self.found_of_notices(
                    [SENT_MS + 5000], disturbances=[(name, SENT_MS + 3000)]
                )
                self.assertEqual(count, len(found))

    def test_gateway_is_not_told_by_an_answer_that_is_lost(self):
        # Seed 70008: a relay that drops the answers of a server dropped the
        # one that asked for a pause.
        rows = (
            ('backend-1', -500, 300, 0),
            ('backend-1', 1, 300, 1),
            ('backend-1', -500, -1, 1),
            ('backend-2', -500, 300, 1),
        )
        for name, from_ms, until_ms, count in rows:
            with self.subTest(name=name, from_ms=from_ms):
                cut = notices.Cut(
                    name=name,
                    from_ms=SENT_MS + from_ms,
                    until_ms=SENT_MS + until_ms,
                )
                found = self.found_of_notices([SENT_MS + 5000], cuts=[cut])
                self.assertEqual(count, len(found))

    def test_gateway_is_not_told_on_a_request_that_has_ended(self):
        # Seed 330004: a frozen server went on after the deadline.
        for status, ended_ms, count in (
            (504, SENT_MS - 1, 0),
            (504, SENT_MS, 1),
            (200, SENT_MS + 1, 1),
            (None, SENT_MS - 1, 1),
        ):
            with self.subTest(status=status, ended_ms=ended_ms):
                found = self.found_of_notices(
                    [SENT_MS + after_ms for after_ms in (600, 800, 1500)],
                    pause_ms=2000,
                    told_sent_ms=SENT_MS - 1000,
                    told_ended_ms=ended_ms,
                    told_status=status,
                )
                self.assertEqual(count, len(found))

    def test_gateway_is_not_told_on_a_request_that_it_gave_up(self):
        # Seed 80001: a silent relay passed a request on 1.8 s after it was
        # sent, when the gateway had gone on to another server.
        for sent_ms, until_ms, count in (
            (-1800, -1, 0),
            (-1800, -500, 0),
            (-1800, -501, 1),
            (-10, -11, 1),
        ):
            with self.subTest(sent_ms=sent_ms, until_ms=until_ms):
                cut = notices.Cut(
                    name='backend-1',
                    from_ms=SENT_MS - 2000,
                    until_ms=SENT_MS + until_ms,
                )
                found = self.found_of_notices(
                    [SENT_MS + 5000],
                    told_sent_ms=SENT_MS + sent_ms,
                    cuts=[cut],
                )
                self.assertEqual(count, len(found))

    def test_callers_are_served_once_the_faults_are_over(self):
        last = asked(is_after_faults=True)
        lost = attrs.evolve(last, request_id='r2', status=None)
        runs = [ran()]
        for count, expected in ((0, []), (1, 1)):
            found = checks.check(
                asked=[last] + [lost] * count, runs=runs, revoked={}, late=[]
            )
            self.assertEqual(bool(expected), bool(found))


SERVICES = {
    wire.STREAMS: ['backend-1', 'backend-2', 'backend-3'],
    wire.CALLS: ['backend-4', 'backend-5'],
}
KILL, ENDED, STOP = signal.SIGKILL, signal.SIGCHLD, signal.SIGTERM
FREEZE, THAW, RELOAD = signal.SIGSTOP, signal.SIGCONT, signal.SIGHUP


def cut(**fields):
    """Return a stream that is cut after 1,250 ms."""
    return asked(
        **{
            'target': STREAM,
            'deadline_ms': 6000,
            'took_ms': 1250,
            'status': None,
            'is_signed': False,
            'body': b'',
            'ending': connections.Ending.CUT,
            'whole_ms': SENT_MS + 5,
            **fields,
        }
    )


def crossed(**fields):
    """Return a request that ends unread at the close of its connection."""
    return cut(
        **{
            'ending': connections.Ending.CLOSED,
            'took_ms': 20,
            'is_reused': True,
            **fields,
        }
    )


def reached(*numbers, after_ms=10, **fields):
    """Return the records of a stream that ran on some servers in turn."""
    ran_at = [
        {
            'server_id': f'backend-{number}-1700',
            'request_id': 'r1',
            'at_ms': SENT_MS + after_ms + 100 * index,
        }
        for index, number in enumerate(numbers)
    ]
    return {
        'arrivals': [notices.Arrival(**one) for one in ran_at],
        'runs': [
            checks.Run(**one, target=STREAM, workspace='w1') for one in ran_at
        ],
        **fields,
    }


def sent(number, after_ms, name='gateway-1'):
    return deployment.Signal(
        name=name, number=number, at_ms=SENT_MS + after_ms
    )


def fault(number, from_ms, until_ms, *, breaks=True):
    return ends.ServerFault(
        name=f'backend-{number}',
        from_ms=SENT_MS + from_ms,
        until_ms=SENT_MS + until_ms,
        breaks=breaks,
    )


def event(number, after_ms, request_id='r1'):
    return ends.Event(
        server_id=f'backend-{number}-1700',
        request_id=request_id,
        at_ms=SENT_MS + after_ms,
    )


class LimitsTest(unittest.TestCase):
    """The requests to servers that name limits."""

    def found(self, count, *, gateways=('g1',), told=('g1', 'g2'), **fields):
        """Return what is found for requests in the fourth second."""
        first = [
            asked(request_id=f'told-{index}', gateway=gateway)
            for index, gateway in enumerate(told)
        ]
        later = [
            asked(
                request_id=f'r{index}',
                gateway=gateways[index % len(gateways)],
            )
            for index in range(count)
        ]
        return limits.check(
            asked=[*first, *later],
            named=[
                limits.Named(
                    server_id='backend-1-1700',
                    request_id=one.request_id,
                    at_ms=SENT_MS + after_ms,
                    per_s=1,
                )
                for after_ms in (0, 9000)
                for one in first
            ],
            arrivals=[
                notices.Arrival(
                    server_id='backend-1-1700',
                    request_id=one.request_id,
                    at_ms=SENT_MS + 4000 + index,
                )
                for index, one in enumerate(later)
            ],
            **{'disturbances': [], 'cuts': [], **fields},
        )

    def test_no_limit_is_named_once_the_faults_are_over(self):
        with tempfile.TemporaryDirectory() as folder:
            folder = pathlib.Path(folder)
            schedule = limits.Schedule(name='backend-1', folder=folder)
            schedule.per_s(SENT_MS)
            named = schedule.per_s(SENT_MS + 2000)
            self.assertIn(named, limits.RATES_PER_S)
            (folder / limits.OVER_NAME).touch()
            self.assertIsNone(schedule.per_s(SENT_MS + 2000))

    def test_requests_of_all_gateways_that_were_told_count(self):
        cut = notices.Cut(
            name='backend-1', from_ms=SENT_MS + 3900, until_ms=SENT_MS + 4000
        )
        disturbed = [('g1', SENT_MS + 2000)]
        rows = (
            ('allowed', 11, {}, 0),
            ('one more', 12, {}, 1),
            ('of two gateways', 12, {'gateways': ('g1', 'g2')}, 1),
            ('half were not told', 12, {'gateways': ('g1', 'g3')}, 0),
            ('disturbed', 12, {'disturbances': disturbed}, 0),
            ('held up', 12, {'cuts': [cut]}, 0),
        )
        for name, count, fields, found_count in rows:
            with self.subTest(name):
                found = self.found(count, **fields)
                self.assertEqual(found_count, len(found), found)


class EndsTest(unittest.TestCase):
    """Which requests may end without an answer and without a status."""

    def judged(self, one, *, timeout_ms=6000, **records):
        """Return what is found, and what was excused."""
        fields = {
            field.name: []
            for field in attrs.fields(ends.Records)
            if field.type not in (frozenset[str], dict[str, list[str]])
        }
        return ends.check(
            asked=[one],
            records=ends.Records(
                **{
                    **fields,
                    'read_ids': frozenset(),
                    'budget_ids': frozenset(),
                    'services': SERVICES,
                    'least_timeout_ms': lambda *_, **__: timeout_ms,
                    **records,
                }
            ),
        )

    def check(self, rows, excuse):
        for name, one, records in rows:
            with self.subTest(name):
                found, excused = self.judged(one, **records)
                if excuse is None:
                    self.assertEqual((1, {}), (len(found), excused))
                else:
                    expected = {excuse.name.lower(): 1}
                    self.assertEqual(([], expected), (found, excused))

    def test_stream_that_is_cut_at_a_sound_gateway_is_found(self):
        at_work = reached(1)
        rows = (
            ('server silent', cut(), at_work),
            ('no server', cut(), {}),
            (
                'beside a reload',
                cut(),
                {**at_work, 'signals': [sent(RELOAD, 50)]},
            ),
            ('beside a stop', cut(), {**at_work, 'signals': [sent(STOP, 50)]}),
            (
                'another gateway killed',
                cut(),
                {**at_work, 'signals': [sent(KILL, 50, 'gateway-2')]},
            ),
            (
                'killed long before',
                cut(),
                {**at_work, 'signals': [sent(KILL, -500), sent(ENDED, -150)]},
            ),
            (
                'thawed long before',
                cut(),
                {**at_work, 'signals': [sent(FREEZE, -900), sent(THAW, -500)]},
            ),
            (
                'killed later',
                cut(),
                {**at_work, 'signals': [sent(KILL, 1400)]},
            ),
            (
                'before the limit',
                cut(took_ms=2990),
                {**at_work, 'timeout_ms': 3000},
            ),
            (
                'unreadable',
                cut(ending=connections.Ending.UNREADABLE),
                {**at_work, 'signals': [sent(KILL, 50)]},
            ),
            (
                'given up early',
                cut(ending=connections.Ending.TIMED_OUT),
                at_work,
            ),
        )
        self.check(rows, None)

    def test_request_with_any_status_is_no_matter_of_this_check(self):
        for status in (200, 401, 502, 503, 504):
            with self.subTest(status=status):
                one = cut(status=status)
                self.assertEqual(([], {}), self.judged(one, **reached(1)))

    def test_gateway_that_was_killed_or_frozen_excuses(self):
        for name, signals in (
            ('killed', [sent(KILL, 1200)]),
            # Seed 320005: the process still took a connection.
            ('killed, not ended', [sent(KILL, -300), sent(ENDED, 20)]),
            ('frozen', [sent(FREEZE, 500), sent(THAW, 900)]),
            ('frozen before', [sent(FREEZE, -900), sent(THAW, 20)]),
            ('still frozen', [sent(FREEZE, 1200)]),
            ('killed as it was frozen', [sent(FREEZE, -90), sent(KILL, 9000)]),
        ):
            with self.subTest(name):
                found, excused = self.judged(
                    cut(), **reached(1, signals=signals)
                )
                self.assertEqual([], found)
                self.assertEqual({'gateway_killed': 1}, excused)

    def test_time_limit_of_the_caller_or_the_route_excuses(self):
        rows = (
            ('of the caller', cut(took_ms=6000), {'timeout_ms': 9000}),
            ('of the route', cut(took_ms=3000), {'timeout_ms': 3000}),
        )
        self.check(rows, ends.Excuse.TIME_LIMIT)

    def test_request_that_was_not_sent_excuses_if_it_was_not_read(self):
        unsent = cut(ending=connections.Ending.NOT_SENT, whole_ms=None)
        self.check([('refused', unsent, {})], ends.Excuse.NOT_SENT)
        rows = (
            ('passed on', unsent, reached(1)),
            ('logged', unsent, {'read_ids': frozenset({'r1'})}),
        )
        self.check(rows, None)

    def test_request_that_crosses_a_close_excuses_if_it_was_not_read(self):
        reset = connections.Ending.RESET
        stopping = {'signals': [sent(STOP, -3000)]}
        rows = (
            ('closed', crossed(), {}),
            ('reset', crossed(ending=reset), {}),
            ('new, stopping', crossed(is_reused=False), stopping),
            (
                'caller held up',
                crossed(took_ms=900),
                {'hold_ups': [(SENT_MS + 10, SENT_MS + 890)]},
            ),
        )
        self.check(rows, ends.Excuse.CROSSED)
        restarted = {'signals': [sent(STOP, -3000), sent(None, -1000)]}
        rows = (
            ('passed on', crossed(), reached(1)),
            ('logged', crossed(), {'read_ids': frozenset({'r1'})}),
            ('in the answer', crossed(ending=connections.Ending.CUT), {}),
            ('too late', crossed(took_ms=206), {}),
            ('new', crossed(is_reused=False), {}),
            ('new, restarted', crossed(is_reused=False), restarted),
        )
        self.check(rows, None)

    def test_server_that_broke_off_excuses_if_no_other_could_go_on(self):
        others = [fault(2, -900, 50), fault(3, -900, 50)]
        killed = fault(1, 100, 900)
        gone = ends.Gone(server_id='backend-1-1700', at_ms=SENT_MS + 90)
        begun = [event(1, 300)]
        both = [event(2, 50), event(3, 150)]
        told = notices.Notice(
            server_id='backend-2-1700',
            request_id='r0',
            at_ms=SENT_MS - 900,
            pause_ms=4000,
        )
        rows = (
            ('killed', reached(1, faults=[*others, killed])),
            ('gone', reached(1, gone=[gone], faults=others)),
            ('endless', reached(1, broken=[event(1, 20)], faults=others)),
            ('all tried', reached(2, 3, 1, faults=[killed], begun=begun)),
            ('all broke', reached(2, 3, 1, faults=[killed], broken=both)),
            (
                'other asked for a pause',
                reached(1, faults=[killed, others[1]], notices=[told]),
            ),
            (
                'other was broken for another',
                reached(
                    1,
                    faults=[others[1]],
                    broken=[event(1, 20), event(2, -50, 'r0')],
                ),
            ),
        )
        rows = [(name, cut(), records) for name, records in rows]
        self.check(rows, ends.Excuse.SERVER_BROKE_OFF)

    def test_server_that_broke_off_is_no_excuse_otherwise(self):
        others = [fault(2, -900, 50), fault(3, -900, 50)]
        killed = fault(1, 100, 900)
        rows = (
            ('others at hand', reached(1, faults=[killed])),
            ('one at hand', reached(1, faults=[killed, others[0]])),
            (
                'silent link',
                reached(1, faults=[*others, fault(1, 100, 900, breaks=False)]),
            ),
            ('broke before', reached(1, faults=[*others, fault(1, -900, 5)])),
            (
                'broke later',
                reached(1, faults=[*others, fault(1, 1300, 1900)]),
            ),
            (
                'for another',
                reached(1, broken=[event(1, 20, 'r0')], faults=others),
            ),
            ('nothing broke, all tried', reached(1, 2, 3)),
            ('silent one is left', reached(2, 3, 1, faults=[killed])),
            ('former run broke', reached(1, 2, 3, broken=[event(1, 20)])),
        )
        self.check([(name, cut(), records) for name, records in rows], None)
        closed = cut(ending=connections.Ending.CLOSED)
        rows = [('unbegun', closed, reached(1, faults=[*others, killed]))]
        self.check(rows, None)

    def test_spent_budget_excuses_only_where_the_server_broke_off(self):
        spent = {'budget_ids': frozenset({'r1'})}
        rows = [('silent', cut(), reached(1, **spent))]
        rows += [
            (
                'went on elsewhere',
                cut(),
                reached(1, 2, broken=[event(1, 20)], **spent),
            ),
            (
                'other request',
                cut(),
                reached(
                    1, broken=[event(1, 20)], budget_ids=frozenset({'r2'})
                ),
            ),
        ]
        self.check(rows, None)
        rows = [
            ('broke off', cut(), reached(1, broken=[event(1, 20)], **spent))
        ]
        self.check(rows, ends.Excuse.BUDGET_SPENT)

    def test_end_of_a_planned_stop_excuses_what_was_sent_early(self):
        rows = (
            ('at its end', 7400, 0, reached(1), ends.Excuse.STOP_TIME),
            ('too early', 6600, 0, reached(1), None),
            ('sent late', 7400, 3100, reached(1), None),
            ('at no server', 7400, 0, {}, None),
        )
        for name, ended_ms, sent_ms, records, excuse in rows:
            one = cut(took_ms=ended_ms - sent_ms, deadline_ms=9000)
            records = {
                **records,
                'timeout_ms': 9000,
                'signals': [sent(STOP, -sent_ms)],
            }
            self.check([(name, one, records)], excuse)
            for ending in (
                connections.Ending.CLOSED,
                connections.Ending.RESET,
            ):
                unbegun = attrs.evolve(one, ending=ending)
                with self.subTest(ending=ending):
                    self.check([(name, unbegun, records)], None)


class SilencesTest(unittest.IsolatedAsyncioTestCase):
    """Pauses of sound servers."""

    def test_silences_follow_from_their_seed_and_reach_groups(self):
        one, again = (
            [silences.draw(rng, groups=SERVICES) for _ in range(100)]
            for rng in (random.Random(1), random.Random(1))
        )
        self.assertEqual(one, again)
        self.assertEqual({1, 2, 3}, {len(each.targets) for each in one})
        self.assertEqual({*silences.Scope}, {each.scope for each in one})

    async def test_server_falls_silent_as_it_is_told(self):
        for scope, is_begun, paused in (
            (silences.Scope.ALL, True, (True, True)),
            (silences.Scope.ONE, True, (True, False)),
            (silences.Scope.UNBEGUN, True, (False, False)),
            (silences.Scope.UNBEGUN, False, (True, True)),
        ):
            with self.subTest(scope=scope, is_begun=is_begun):
                silence = backend.Silence()
                order = silences.Silence(
                    targets=(), scope=scope, for_s=0.2, gap_s=0.0
                ).order()
                silence.datagram_received(order, None)
                waiting = [
                    asyncio.create_task(silence.wait(is_begun=is_begun))
                    for _ in paused
                ]
                await asyncio.sleep(0.05)
                is_paused = tuple(not task.done() for task in waiting)
                self.assertEqual(paused, is_paused)
                await asyncio.wait_for(asyncio.gather(*waiting), 2)


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    """What a caller sees of the end of an exchange."""

    WHOLE = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'

    async def connect(self, data, *, is_reset=False):
        """Connect to a server that sends some bytes and closes."""
        self.read = asyncio.get_running_loop().create_future()

        async def serve(reader, writer):
            self.read.set_result(await reader.readuntil(b'body'))
            writer.write(data)
            await writer.drain()
            if is_reset:
                raw = writer.get_extra_info('socket')
                raw.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, relay.RESET
                )
                writer.transport.abort()
            elif data == self.WHOLE:
                self.addCleanup(writer.close)
            else:
                writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        one = await connections.Connection.open(f'127.0.0.1:{port}')
        self.addCleanup(one.close)
        return one

    async def ask(self, one, pauses_s=()):
        return await asyncio.wait_for(
            one.ask(target='/a', fields=[], body=b'body', pauses_s=pauses_s),
            5,
        )

    async def test_ending_tells_what_the_caller_saw(self):
        for data, is_reset, ending in (
            (self.WHOLE, False, connections.Ending.ANSWERED),
            (b'', False, connections.Ending.CLOSED),
            (b'', True, connections.Ending.RESET),
            (self.WHOLE[:-1], False, connections.Ending.CUT),
            (b'HTTP/1.1 200', False, connections.Ending.CUT),
            (b'no answer\r\n\r\n', False, connections.Ending.UNREADABLE),
        ):
            with self.subTest(data=data, is_reset=is_reset):
                one = await self.connect(data, is_reset=is_reset)
                answer = await self.ask(one)
                self.assertIs(ending, one.ending)
                is_whole = ending is connections.Ending.ANSWERED
                self.assertEqual(is_whole, answer is not None)
                self.assertEqual(is_whole, one.is_usable)
                self.assertFalse(one.is_reused)

    async def test_request_in_pieces_arrives_whole(self):
        one = await self.connect(self.WHOLE)
        await self.ask(one, pauses_s=[0.01, 0.01, 0.01])
        self.assertTrue((await self.read).startswith(b'POST /a HTTP/1.1'))

    async def test_connection_is_used_again_only_if_whole_and_fresh(self):
        one = await self.connect(self.WHOLE)
        await self.ask(one)
        one.ending = connections.Ending.CUT
        self.assertFalse(one.is_usable)
        one.ending = connections.Ending.ANSWERED
        with mock.patch.object(connections, 'MOST_IDLE_S', 0.0):
            self.assertFalse(one.is_usable)
        self.assertTrue(one.is_usable)


class TablesTest(unittest.TestCase):
    """What the operator changes."""

    def test_each_table_is_valid_and_serves_what_callers_ask_for(self):
        rng = random.Random(1)
        for version in range(1, 100):
            fields = tables.draw(rng).configuration(version, ['k'])
            table = platform_routes.read(json.dumps(fields).encode())
            prefixes = {route.path_prefix for route in table.routes}
            self.assertLessEqual(
                {f'/{service}/{path}/' for service, path in tables.KINDS},
                prefixes,
            )

    def test_least_time_limit_that_may_be_in_force(self):
        taken = operator.Operator(addresses=['a'])
        for version, timeout_ms, sent_ms, acknowledged_ms in (
            (1, 6000, 0, 10),
            (4, 3000, 5000, 5010),
            (7, 4500, 10000, None),
            (10, 6000, 15000, 15010),
        ):
            taken._changes[version] = operator.Change(
                table=tables.Table(timeouts_ms={'stream': timeout_ms}),
                sent_ms=sent_ms,
                acknowledged_ms=acknowledged_ms,
            )
        for from_ms, until_ms, expected_ms in (
            (3000, 4999, 6000),
            (3000, 5000, 3000),
            (9000, 9500, 3000),
            (17010, 18000, 3000),
            (17011, 18000, 6000),
        ):
            with self.subTest(from_ms=from_ms, until_ms=until_ms):
                found_ms = taken.least_timeout_ms(
                    STREAM, from_ms=from_ms, until_ms=until_ms
                )
                self.assertEqual(expected_ms, found_ms)


class PlanTest(unittest.TestCase):
    """Plans that a deployment must bear."""

    def test_plan_follows_from_its_seed(self):
        plans = [
            faults.draw_plan(seed=seed, targets=TARGETS, duration_s=30.0)
            for seed in (3, 3, 4)
        ]
        self.assertEqual(plans[0], plans[1])
        self.assertNotEqual(plans[0], plans[2])

    def test_one_control_host_is_faulty_at_a_time(self):
        for seed in range(50):
            plan = faults.draw_plan(
                seed=seed, targets=TARGETS, duration_s=30.0
            )
            control = [
                fault for fault in plan if fault.target in TARGETS['control']
            ]
            for one, other in zip(control, control[1:], strict=False):
                self.assertGreaterEqual(
                    other.at_s, one.ends_s + faults.CATCH_UP_S
                )

    def test_servers_leave_that_nothing_else_disturbs(self):
        leaving = (faults.Kind.LEAVE, faults.Kind.VANISH)
        lost = 0
        for seed in range(50):
            plan = faults.draw_plan(seed=seed, targets=TARGETS, duration_s=5.0)
            for one in plan:
                if one.kind not in leaving:
                    continue
                lost += one.loses_leader
                others = [
                    fault
                    for fault in plan
                    if fault is not one and fault.target == one.target
                ]
                for other in others:
                    self.assertGreaterEqual(other.at_s, one.ends_s)
        self.assertGreater(lost, 0)


class RoundsTest(unittest.TestCase):
    """Rounds in which control hosts are replaced or lost."""

    def test_rounds_follow_from_their_seed(self):
        one, again, other = (
            rounds.draw(seed=seed, count=3) for seed in (3, 3, 4)
        )
        self.assertEqual(one, again)
        self.assertNotEqual(one, other)

    def test_disks_are_lost_after_hosts_were_replaced(self):
        drawn = [rounds.draw(seed=seed, count=3) for seed in range(50)]
        first = {one.kind for each in drawn for one in each[:-1]}
        self.assertEqual({*rounds.WEIGHTS}, first)
        wiped = [each for each in drawn if each[-1].kind is faults.Kind.WIPE]
        self.assertGreater(len(wiped), len(drawn) / 2)
        others = [each[-1].kills_others for each in wiped]
        self.assertIn(True, others)
        self.assertIn(False, others)

    def test_only_a_lost_disk_comes_with_the_end_of_all_others(self):
        for seed in range(50):
            for one in rounds.draw(seed=seed, count=3):
                if one.kills_others:
                    self.assertIs(faults.Kind.WIPE, one.kind)
                    self.assertEqual(rounds.RECOVERED_S, one.served_s)

    def test_what_comes_beside_a_loss_is_none_itself(self):
        rng = random.Random(1)
        for _ in range(200):
            fault = faults.draw_beside(rng, targets=TARGETS)
            if fault.target in TARGETS['control']:
                self.assertIs(faults.Kind.RELOAD, fault.kind)


class DeploymentTest(unittest.TestCase):
    """Control hosts that come and go."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.running = deployment.Deployment(
            folder=pathlib.Path(folder.name) / 'run', net='127.20.1'
        )
        self.addCleanup(
            signal.signal, signal.SIGHUP, signal.getsignal(signal.SIGHUP)
        )
        self.running.prepare()

    def seeds_of(self, name):
        return self.running.parts[name].settings.discovery.seeds

    def test_successor_has_an_address_of_its_own(self):
        for _ in range(rounds.MOST_ROUNDS):
            former = self.running.names('control')[0]
            name = self.running.add_control()
            self.running.remove_control(former)
            self.assertNotIn(former, self.running.names('control'))
        ports = {
            part.settings.process.address
            for part in self.running.parts.values()
            if part.settings is not None
        }
        self.assertEqual(9 + 3, len(ports))
        self.assertEqual(
            [self.running.api_address_of(f'control-{i}') for i in (7, 8, 9)],
            self.running.api_addresses,
        )
        discovery = self.running.parts[name].settings.discovery
        self.assertFalse(discovery.may_found)

    def test_successor_is_in_the_settings_of_all_that_stay(self):
        name = self.running.add_control()
        self.running.remove_control('control-1')
        self.running.list_seeds(tuple(self.running.api_addresses))
        address = self.running.api_address_of(name)
        for other in ('control-2', 'control-3', 'gateway-1', name):
            self.assertIn(address, self.seeds_of(other))
        self.assertNotIn(address, self.seeds_of('control-1'))

    def test_host_that_was_replaced_never_starts_again(self):
        self.running.add_control()
        self.running.remove_control('control-1')
        asyncio.run(self.running.start('control-1'))
        self.assertFalse(self.running.is_running('control-1'))


class StartTest(unittest.TestCase):
    """A control host that starts."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.running = deployment.Deployment(
            folder=pathlib.Path(folder.name) / 'run', net='127.20.2'
        )
        self.addCleanup(
            signal.signal, signal.SIGHUP, signal.getsignal(signal.SIGHUP)
        )
        self.running.prepare()
        self.addCleanup(self.running.stop_all)

    def wait_for(self, message):
        """Wait until the host has logged a line."""
        ends_s = time.monotonic() + rounds.START_S
        while not self.running.log_lines('control-1', message):
            self.assertTrue(
                self.running.is_running('control-1'),
                f'ended: {self.running.parts["control-1"].process.poll()}',
            )
            self.assertLess(time.monotonic(), ends_s)
            time.sleep(rounds.POLL_S)

    def test_host_that_is_told_to_reload_at_any_moment_listens(self):
        asyncio.run(self.running.start('control-1'))
        self.running.signal('control-1', signal.SIGHUP)
        self.wait_for('control host is listening')
        self.running.signal('control-1', signal.SIGHUP)
        self.wait_for(
            'settings reloaded; other keys than the seeds take effect at the '
            'next start'
        )


class SlowProcess:
    """A process that gets no processor: it starts and ends late."""

    def __init__(self, *arguments, **options):
        time.sleep(SLOW_S)
        self.is_killed = False

    def poll(self):
        return -signal.SIGKILL if self.is_killed else None

    def kill(self):
        pass

    def wait(self):
        time.sleep(SLOW_S)
        self.is_killed = True


class SlowProcessTest(unittest.IsolatedAsyncioTestCase):
    """What a slow process must not hold up."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.running = deployment.Deployment(
            folder=pathlib.Path(folder.name), net='127.20.3'
        )
        (self.running.folder / 'logs').mkdir()
        self.part = deployment.Part(name='p', role='backend', command=())
        self.running.parts['p'] = self.part
        patch = mock.patch.object(deployment.subprocess, 'Popen', SlowProcess)
        patch.start()
        self.addCleanup(patch.stop)

    async def count_ticks(self, action):
        """Return how often callers come to run during an action."""
        acting = asyncio.create_task(action)
        ticks = 0
        while not acting.done():
            await asyncio.sleep(SLOW_S / 20)
            ticks += 1
        await acting
        return ticks

    async def test_callers_go_on_while_a_process_starts_and_ends(self):
        for action in (self.running.start, self.running.kill):
            with self.subTest(action=action.__name__):
                self.assertGreater(await self.count_ticks(action('p')), 3)

    async def test_process_starts_once_after_its_end(self):
        await self.running.start('p')
        former = self.part.process
        await asyncio.gather(
            self.running.kill('p'),
            self.running.start('p'),
            self.running.start('p'),
        )
        self.assertTrue(former.is_killed)
        self.assertIsNot(former, self.part.process)
        self.assertTrue(self.running.is_running('p'))


class OperatorTest(unittest.IsolatedAsyncioTestCase):
    """What the operator finds when it reads."""

    def setUp(self):
        self.held = b''
        self.is_taking = self.is_up = True
        self.operator = operator.Operator(addresses=['a', 'b'])
        for target, name, value in (
            (wire, 'exchange', self.exchange),
            (operator, 'END_TIMEOUT_S', 0.1),
        ):
            patched = mock.patch.object(target, name, value)
            patched.start()
            self.addCleanup(patched.stop)

    async def exchange(self, *, method, body, **_):
        if not self.is_up:
            raise ConnectionRefusedError
        if method == 'PUT' and self.is_taking:
            self.held = body
        return wire.Answer(status=200, fields={}, body=self.held)

    async def found_at_the_end(self):
        await self.operator.put(1, api_keys=[])
        await self.operator.put(4, api_keys=[])
        await self.operator.end()
        return self.operator.faults

    async def test_newest_version_is_read_at_each_host(self):
        self.assertEqual([], await self.found_at_the_end())

    async def test_version_that_was_acknowledged_and_lost(self):
        await self.operator.put(1, api_keys=[])
        self.is_taking = False
        found = await self.found_at_the_end()
        self.assertEqual(2, len(found), found)

    async def test_control_that_never_answers_again(self):
        await self.operator.put(1, api_keys=[])
        self.is_up = False
        await self.operator.end()
        self.assertEqual(3, len(self.operator.faults), self.operator.faults)

    async def test_read_of_an_older_version_while_faults_go_on(self):
        for after_ms, count in ((1900, 0), (2100, 1)):
            with self.subTest(after_ms=after_ms):
                self.operator.faults.clear()
                self.is_taking = True
                await self.operator.put(1, api_keys=[])
                self.is_taking = False
                await self.operator.put(4, api_keys=[])
                at_s = time.monotonic() - after_ms / 1000
                self.operator._acknowledged = [(1, 0.0), (4, at_s)]
                await self.operator._read('a')
                self.assertEqual(count, len(self.operator.faults))


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """What the relay does to connections is what networks do."""

    async def asyncSetUp(self):
        self.errors = []
        asyncio.get_running_loop().set_exception_handler(
            lambda _, context: self.errors.append(context)
        )
        self.echoing = set()

        async def echo(reader, writer):
            while data := await reader.read(100):
                writer.write(data)
            writer.close()

        def accept(reader, writer):
            self.echoing.add(asyncio.create_task(echo(reader, writer)))

        self.server = await asyncio.start_server(accept, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        with socket.create_server(('127.0.0.1', 0)) as free:
            listen = f'127.0.0.1:{free.getsockname()[1]}'
        self.relay = relay.Relay(listen=listen, target=f'127.0.0.1:{port}')
        await self.relay.start()
        self.addCleanup(self.server.close)
        self.addCleanup(self.relay.close)
        self.port = int(listen.rpartition(':')[2])

    async def asyncTearDown(self):
        self.relay.close()
        self.server.close()
        await asyncio.wait_for(self.relay.wait_closed(), 10)
        if self.echoing:
            await asyncio.wait(self.echoing, timeout=10)
        left = asyncio.all_tasks() - {asyncio.current_task()}
        self.assertEqual(set(), left)
        self.assertEqual([], self.errors)

    async def ask(self, opened, data):
        """Return what comes back soon, b'' if nothing does."""
        reader, writer = opened
        writer.write(data)
        try:
            return await asyncio.wait_for(reader.read(100), 0.3)
        except asyncio.TimeoutError:
            return b''

    async def test_connection_that_lost_bytes_carries_no_later_ones(self):
        opened = await asyncio.open_connection('127.0.0.1', self.port)
        self.assertEqual(b'1', await self.ask(opened, b'1'))
        self.relay.set_mode(relay.Mode.ONE_WAY)
        self.assertEqual(b'', await self.ask(opened, b'2'))
        self.relay.set_mode(relay.Mode.PASS)
        self.assertEqual(b'', await self.ask(opened, b'3'))
        other = await asyncio.open_connection('127.0.0.1', self.port)
        self.assertEqual(b'4', await self.ask(other, b'4'))
        for _, writer in (opened, other):
            writer.close()

    async def test_reset_of_a_relay_that_has_closed_one_side(self):
        opened = await asyncio.open_connection('127.0.0.1', self.port)
        self.assertEqual(b'1', await self.ask(opened, b'1'))
        _, closed = await asyncio.open_connection('127.0.0.1', self.port)
        closed.close()
        await closed.wait_closed()
        self.relay._writers = [closed, *self.relay._writers]
        self.relay.reset_all()
        self.relay._writers = set(self.relay._writers) - {closed}
        with self.assertRaises(ConnectionResetError):
            await opened[0].read(100)

    async def test_closed_relay_carries_nothing_and_reports_no_error(self):
        for mode in relay.Mode:
            self.relay.set_mode(mode)
            opened = await asyncio.open_connection('127.0.0.1', self.port)
            self.addCleanup(opened[1].close)
            await self.ask(opened, b'1')
        self.relay.close()
        await asyncio.wait_for(self.relay.wait_closed(), 10)


class RecordTest(unittest.TestCase):
    """What is read of a backend server's record as it is written."""

    def test_line_that_is_written_in_part_is_left_for_later(self):
        running = mock.create_autospec(
            deployment.Deployment, instance=True, spec_set=True
        )
        folder = self.enterContext(tempfile.TemporaryDirectory())
        record = pathlib.Path(folder) / 'backend-1.runs'
        running.record_of.return_value = record
        injected = injection.Injection(running=running, callers=None)
        line = json.dumps({'what': 'left', 'leader': '127.0.0.1:80'}) + '\n'
        for written, count in (('', 0), (line[:-9], 0), (line, 1)):
            with self.subTest(written=written):
                record.write_text(written, encoding='utf-8')
                found = injected.lines('backend-1', 'left')
                self.assertEqual(count, len(found))
                record.write_text(line + written, encoding='utf-8')
                found = injected.lines('backend-1', 'left')
                self.assertEqual(1 + count, len(found))


class ZoneOrdersTest(unittest.TestCase):
    """An order that was undone by one that had waited somewhere."""

    def check(self, *executed):
        orders = [
            zone_orders.Order(is_out=True, sent_ms=100, acknowledged_ms=120),
            zone_orders.Order(is_out=False, sent_ms=300, acknowledged_ms=320),
            zone_orders.Order(is_out=True, sent_ms=500, acknowledged_ms=520),
            zone_orders.Order(is_out=False, sent_ms=900),
        ]
        usual = ((True, 115, 7), (False, 315, 8), (True, 515, 9))
        return zone_orders.check(
            orders=orders,
            executed=[
                zone_orders.Executed(
                    is_out=is_out, at_ms=at_ms, state_version=version
                )
                for is_out, at_ms, version in (*usual, *executed)
            ],
        )

    def test_only_a_later_opposite_order_undoes_one(self):
        rows = (
            ((), 0),
            # The answer of the former order came late.
            (((False, 530, 8),), 0),
            # Sent again, and after the next order.
            (((True, 600, 9),), 0),
            (((False, 910, 10),), 0),
            (((False, 600, 10),), 1),
            (((True, 400, 9),), 1),
        )
        for executed, count in rows:
            with self.subTest(executed=executed):
                self.assertEqual(count, len(self.check(*executed)))


class ResetsTest(unittest.TestCase):
    """Requests that sound servers reset."""

    def test_server_resets_a_marked_request_once(self):
        marked = f'/llm/stream/{resets.PREFIX}1'
        one = resets.Resets(name='backend-1')
        delay_s = one.draw_delay_s(marked)
        self.assertLessEqual(resets.DELAY_S[0], delay_s)
        self.assertIsNone(one.draw_delay_s(marked))
        self.assertIsNone(one.draw_delay_s(STREAM))
        self.assertIsNotNone(
            resets.Resets(name='backend-2').draw_delay_s(marked)
        )

    def test_quarantined_request_is_found(self):
        for refused_ids, count in ((frozenset(), 0), (frozenset({'r1'}), 1)):
            with self.subTest(refused_ids=refused_ids):
                found = resets.check(
                    asked=[asked(), asked(request_id='r2')],
                    quarantined_ids=refused_ids,
                )
                self.assertEqual(count, len(found))


class FailuresTest(unittest.TestCase):
    """Requests that servers fail after they have run them."""

    def test_server_fails_marked_requests_alone(self):
        one = failures.Failures(name='backend-1')
        marked = f'/desk/book/{failures.PREFIX}1'
        self.assertIn(one.draw_status(marked), checks.PROMISES)
        self.assertIsNone(one.draw_status('/desk/book/1'))


class ShortSoakTest(unittest.TestCase):
    """The real programs under a few faults."""

    def test_promises_hold_under_a_short_plan(self):
        result = run.run_seed(SHORT_SEED, SHORT_S, round_count=0)
        self.assertEqual((), result.found, result)
        self.assertGreater(result.served, 0)

    def test_leader_is_replaced_as_planned_and_then_a_disk_is_lost(self):
        drawn = rounds.draw(seed=ROUNDS_SEED, count=ROUND_COUNT)
        self.assertTrue(drawn[0].is_leader)
        self.assertEqual(
            [faults.Kind.REPLACE, faults.Kind.WIPE],
            [one.kind for one in drawn],
        )
        result = run.run_seed(ROUNDS_SEED, ROUNDS_S, round_count=ROUND_COUNT)
        self.assertEqual((), result.found, result)
        self.assertGreater(result.served, 0)


if __name__ == '__main__':
    unittest.main()
