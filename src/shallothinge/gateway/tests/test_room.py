"""Tests of the order in which waiting requests take free slots."""

import collections
import unittest
from unittest import mock

from shallothinge import periodic
from shallothinge.gateway import part_admission
from shallothinge.gateway import room
from shallothinge.gateway import servers
from shallothinge.gateway.tests import rig
from shallothinge.gateway.tests import test_forwarding
from shallothinge.gateway.tests import test_wait
from shallothinge.http1 import exchange as exchanges
from shallothinge.placement import fleet
from shallothinge.placement import free_slots
from shallothinge.placement import server_queue
from shallothinge.placement import slot_turns
from shallothinge.quarantine import moments
from shallothinge.quarantine import suspicion as suspicions
from shallothinge.scheduling import demand
from shallothinge.scheduling import messages
from shallothinge.scheduling import model
from shallothinge.scheduling import order
from shallothinge.scheduling import queue
from shallothinge.scheduling import turn

STREAM = test_forwarding.STREAM
URGENT_STREAM = '/urgent/1'
PLAIN = '/plain/1'
LOGGER = 'shallothinge.gateway'
# The latency objective of the streams is 0.3 s; their callers leave after 2 s.
LATE_MS = 300
PATIENCE_MS = 2000
# Read in time by several servers, but half a server's memory.
LARGE_TOKENS = 130_000
DEADLY_PART = 'bad'
PEER = 'peer'


def configuration():
    """Return one with two priorities of workspaces and of routes."""
    fields = test_forwarding.only_engines()
    stream = fields['routes'][0]
    fields['routes'] += [
        {
            **stream,
            'name': 'r-urgent',
            'path-prefix': '/urgent/',
            'priority': 0,
        },
        {
            **stream,
            'name': 'r-plain',
            'path-prefix': '/plain/',
            'service': 'desk',
        },
    ]
    fields['tenants'] = [
        {'name': 'w1', 'api-keys': ['k1']},
        {'name': 'w2', 'api-keys': ['k2']},
        {'name': 'w-urgent', 'api-keys': ['k-urgent'], 'priority': 0},
        {'name': 'w-batch', 'api-keys': ['k-batch'], 'priority': 2},
    ]
    return fields


class Play:
    """A gateway whose few slots are full, and a peer.

    :param slots: of the only server of the service.
    """

    def __init__(self, *, slots=1, service='llm', index=0):
        self.rig = rig.Rig(configuration=configuration(), server_count=0)
        self.rig.add_server(service, index, slots=slots)
        self.server_id = f'{service}-{index}'
        self.peer_load = fleet.FleetLoad(clock=self.rig.clock)
        self._sequence = 0

    @property
    def calls(self):
        return self.rig.caller.calls

    @property
    def queue(self):
        return self.rig.room.queue

    def request(self, path=STREAM, *, key='k1', tokens=500, **fields):
        """Send a request of a workspace."""
        return self.rig.request(path, tokens=tokens, credential=key, **fields)

    def fill(self, count=1, **fields):
        """Send requests that take all slots."""
        for _ in range(count):
            self.request(**fields)

    def fill_all(self, path):
        """Send requests until one has to wait; return how many were sent."""
        while not self.queue.count:
            self.request(path)
        return len(self.calls)

    def end(self, index):
        """Let the stream of a request end."""
        self.calls[index].answer(200, body=test_forwarding.event(1))

    def pass_ms(self, duration_ms):
        """Let time pass in steps of 1 ms."""
        for _ in range(duration_ms):
            self.rig.advance(1)

    def deliver_peer_load(self):
        """Deliver the peer's report of the requests that it has placed."""
        self.rig.load.apply_report(
            peer=PEER, report=self.peer_load.report(complete=False)
        )

    def report_demand(self, *waiting, granted=(), in_use=()):
        """Deliver the peer's report of the requests that wait there."""
        self._sequence += 1
        self.rig.room.peer_demand.apply_report(
            messages.DemandReported(
                sequence=self._sequence,
                waiting=tuple(waiting),
                granted=granted,
                in_use=in_use,
            ),
            peer_id=PEER,
        )

    def sent_bodies(self, since=0):
        """Return the bodies of the requests that were sent, in order."""
        return [call.body for call in self.calls[since:]]


def waiting_at_peer(*, urgency=0, start_by_in_ms=200, service='llm'):
    """Return an entry of a peer's report."""
    return (service, urgency, False, start_by_in_ms, 5000, 1)


class OrderTest(unittest.TestCase):
    """Which of the waiting requests takes a slot that becomes free."""

    # Requests in the order of their arrival, and that of their placement:
    # how long they have waited on arrival, path, key.
    ROWS = (
        (
            'in time before late',
            ((LATE_MS + 1, STREAM, 'k1'), (0, STREAM, 'k1')),
            (1, 0),
        ),
        (
            'in time before late of a more urgent workspace',
            ((LATE_MS + 1, STREAM, 'k-urgent'), (0, STREAM, 'k1')),
            (1, 0),
        ),
        (
            'must start soonest',
            ((0, STREAM, 'k1'), (100, STREAM, 'k1')),
            (1, 0),
        ),
        (
            'abandoned soonest of late ones',
            ((LATE_MS + 1, STREAM, 'k1'), (LATE_MS + 100, STREAM, 'k1')),
            (1, 0),
        ),
        (
            'urgent workspace',
            ((100, STREAM, 'k1'), (0, STREAM, 'k-urgent')),
            (1, 0),
        ),
        (
            'urgent route',
            ((100, STREAM, 'k1'), (0, URGENT_STREAM, 'k1')),
            (1, 0),
        ),
        (
            "workspace's urgency in place of the route's",
            ((100, URGENT_STREAM, 'k-batch'), (0, STREAM, 'k1')),
            (1, 0),
        ),
        (
            'workspace above its share',
            ((100, STREAM, 'k1'), (0, STREAM, 'k2')),
            (1, 0),
        ),
        (
            'urgency before shares',
            ((0, STREAM, 'k2'), (0, URGENT_STREAM, 'k1')),
            (1, 0),
        ),
    )

    def test_order_of_placements(self):
        for name, requests, expected in self.ROWS:
            with self.subTest(name):
                play = Play(slots=2)
                play.fill(2, key='k1')
                for index, (waited_ms, path, key) in enumerate(requests):
                    play.request(
                        path, key=key, waited_ms=waited_ms, body=b'%d' % index
                    )
                self.assertEqual(2, len(play.calls))
                for index in range(2):
                    play.end(index)
                    play.pass_ms(1)
                self.assertEqual(
                    [b'%d' % index for index in expected],
                    play.sent_bodies(since=2),
                )
                self.assertEqual(0, play.queue.count)

    def test_one_placement_in_eight_is_of_a_late_request(self):
        play = Play()
        play.fill()
        late_count = 2
        for _ in range(late_count):
            play.request(waited_ms=LATE_MS + 1, body=b'late')
        sent = []
        for index in range(late_count * queue.LATE_TURN_INTERVAL):
            play.request(body=b'in time')
            play.end(index)
            play.pass_ms(1)
            sent += play.sent_bodies(since=index + 1)
        self.assertEqual(
            ([b'in time'] * (queue.LATE_TURN_INTERVAL - 1) + [b'late'])
            * late_count,
            sent,
        )


class WakeTest(unittest.TestCase):
    """When a waiting request is woken."""

    def test_nothing_waits_while_there_is_room(self):
        play = Play(slots=3)
        with self.assertLogs(LOGGER, 'INFO') as logged:
            for count in range(1, 4):
                play.request()
                self.assertEqual(count, len(play.calls))
        self.assertNotIn('request waits', [one.msg for one in logged.records])
        placed = [one for one in logged.records if hasattr(one, 'queued_ms')]
        self.assertEqual({0}, {one.queued_ms for one in placed})
        self.assertEqual(0, play.queue.count)

    def test_woken_at_once_without_polling(self):
        # Guards against the wait for the next poll, and against a server
        # search for each poll of each request.
        def end_own(play):
            play.end(0)

        def end_at_peer(play):
            play.peer_load.end(1)
            play.deliver_peer_load()

        for name, end in (('own', end_own), ('peer', end_at_peer)):
            with self.subTest(name):
                play = Play()
                if end is end_own:
                    play.fill()
                else:
                    play.peer_load.start(play.rig.work_at('llm-0'))
                    play.deliver_peer_load()
                count = len(play.calls)
                for _ in range(3):
                    play.request()
                play.pass_ms(room.FALLBACK_INTERVAL_MS - 5)
                self.assertEqual(count, len(play.calls))
                end(play)
                play.rig.advance(0)
                if end is end_at_peer:
                    # The only slot may be the turn of the other gateway.
                    play.pass_ms(4)
                self.assertEqual(count + 1, len(play.calls))

    def test_queued_ms_is_the_time_in_the_queue(self):
        def find(logged):
            found = [
                one for one in logged.records if hasattr(one, 'queued_ms')
            ]
            return [(one.msg, one.queued_ms) for one in found]

        play = Play()
        play.fill()
        play.request()
        play.pass_ms(37)
        play.calls[0].answer(200, body=test_forwarding.event(1), ends=False)
        with self.assertLogs(LOGGER, 'INFO') as logged:
            play.calls[0].end()
            play.rig.advance(0)
            leaving = play.request()
            play.pass_ms(23)
            leaving.on_disconnect()
            play.end(1)
        self.assertEqual(
            [
                ('request ended', 0),
                ('request placed', 37),
                ('request ended', 23),
                ('request ended', 37),
            ],
            find(logged),
        )

    def test_slot_that_another_gateway_is_first_for_is_taken_in_turn(self):
        # Guards against two requests for the same slot, and against a slot
        # that stays free because the other gateway does not need it.
        found_ms = {}
        for index in range(8):
            play = Play(index=index)
            play.peer_load.start(play.rig.work_at(play.server_id))
            play.deliver_peer_load()
            play.request()
            play.report_demand(waiting_at_peer(urgency=9))
            play.peer_load.end(1)
            play.deliver_peer_load()
            play.rig.advance(0)
            turn_ms = 0
            while not play.calls and turn_ms < PATIENCE_MS:
                turn_ms += 1
                play.rig.advance(1)
            found_ms[index] = turn_ms
        # Each of the two gateways comes first at some of the servers.
        self.assertEqual({0, slot_turns.TURN_MS}, set(found_ms.values()))


class YieldTest(unittest.TestCase):
    """Requests of a better class that wait at another gateway."""

    def wait_ms(self, play, *, until_count=2):
        """Return the time until the next request is sent."""
        waited_ms = 0
        play.rig.advance(0)
        while len(play.calls) < until_count and waited_ms < PATIENCE_MS:
            waited_ms += 1
            play.rig.advance(1)
        return waited_ms

    def test_yields_to_a_better_class_only_and_for_a_while(self):
        rows = (
            ('more urgent', STREAM, {'urgency': 0}, turn.MAX_YIELD_MS),
            ('same', STREAM, {'urgency': 1, 'start_by_in_ms': 10}, 0),
            ('less urgent', STREAM, {'urgency': 2}, 0),
            ('late', STREAM, {'urgency': 0, 'start_by_in_ms': -9}, 0),
        )
        for service, path in (('llm', STREAM), ('desk', PLAIN)):
            for name, _, entry, expected_ms in rows:
                with self.subTest(name=name, service=service):
                    play = Play(service=service)
                    count = play.fill_all(path)
                    play.request(path)
                    play.report_demand(
                        waiting_at_peer(service=service, **entry)
                    )
                    play.pass_ms(5)
                    play.end(0)
                    self.assertEqual(
                        expected_ms,
                        self.wait_ms(play, until_count=count + 1),
                    )

    def test_peer_that_falls_silent_delays_nobody_for_longer(self):
        # The entries of a peer that has crashed remain for a while.
        play = Play()
        play.fill()
        for _ in range(2):
            play.request()
        play.report_demand(waiting_at_peer())
        for index in range(2):
            play.end(index)
            waited_ms = self.wait_ms(play, until_count=index + 2)
            self.assertEqual(turn.MAX_YIELD_MS, waited_ms)
        play.pass_ms(demand.DEMAND_TTL_MS)
        play.request()
        play.end(2)
        self.assertEqual(0, self.wait_ms(play, until_count=4))


class Fleet:
    """Several gateways that exchange reports, and servers with one slot.

    Reports arrive ``REPORT_MS`` after a change.
    """

    REPORT_MS = 3

    def __init__(self, *, gateway_count, server_count):
        addresses = [f'tcp://{index}' for index in range(gateway_count)]
        self.rigs = [
            rig.Rig(
                configuration=configuration(),
                server_count=0,
                seed=index,
                own_id=str(index),
                address=address,
            )
            for index, address in enumerate(addresses)
        ]
        for one in self.rigs:
            one.holder.peers = tuple(addresses)
            for index in range(server_count):
                one.add_server('llm', index, slots=1)
        self._silent = set()

    def silence(self, index):
        """Let no further report of a gateway arrive."""
        self._silent.add(index)

    def exchange_reports(self):
        """Deliver all reports."""
        for index, sender in enumerate(self.rigs):
            load = sender.load.report(complete=False)
            demands = sender.room.reporter.report(complete=True)
            if index in self._silent:
                continue
            for receiver in self.rigs:
                if receiver is sender:
                    continue
                receiver.load.apply_report(peer=str(index), report=load)
                if demands is not None:
                    receiver.room.peer_demand.apply_report(
                        demands, peer_id=str(index)
                    )

    def pass_ms(self, duration_ms):
        """Let time pass in steps of 1 ms."""
        for passed_ms in range(1, duration_ms + 1):
            for one in self.rigs:
                one.advance(1)
            if passed_ms % self.REPORT_MS == 0:
                self.exchange_reports()

    def fill(self, index, count):
        """Let a gateway fill slots; return the calls."""
        for _ in range(count):
            self.rigs[index].request(STREAM, tokens=500, credential='k1')
        self.exchange_reports()
        return list(self.rigs[index].caller.calls)

    def sent(self, skipped):
        """Return index of the gateway and address of each later call."""
        return [
            (index, call.address)
            for index, one in enumerate(self.rigs)
            for call in one.caller.calls
            if call not in skipped
        ]


class FleetTest(unittest.TestCase):
    """The order over several gateways."""

    def play(self, *, silent=()):
        """Free three slots for which urgent requests wait at gateway 2.

        :returns: the fleet, and the streams that have filled the slots.
        """
        fleet_of_three = Fleet(gateway_count=3, server_count=6)
        streams = fleet_of_three.fill(0, 6)
        self.assertEqual(6, len(streams))
        for index, key in ((0, 'k1'), (1, 'k1'), (2, 'k-urgent')):
            for _ in range(3):
                fleet_of_three.rigs[index].request(
                    STREAM, tokens=500, credential=key
                )
        fleet_of_three.pass_ms(2 * Fleet.REPORT_MS)
        self.assertEqual([], fleet_of_three.sent(streams))
        for index in silent:
            fleet_of_three.silence(index)
        for stream in streams[:3]:
            stream.answer(200, body=test_forwarding.event(1))
        return fleet_of_three, streams

    def test_first_requests_of_all_gateways_take_different_slots(self):
        play, streams = self.play()
        play.pass_ms(turn.MAX_YIELD_MS - 1)
        sent = play.sent(streams)
        self.assertEqual([2, 2, 2], [index for index, _ in sent])
        self.assertEqual(
            {stream.address for stream in streams[:3]},
            {address for _, address in sent},
        )
        play.pass_ms(turn.MAX_YIELD_MS)
        self.assertEqual(3, len(play.sent(streams)))

    def test_slots_that_the_others_do_not_hear_of_are_taken(self):
        # The gateway whose streams have ended yields to gateway 2 in vain.
        play, streams = self.play(silent=(0,))
        play.pass_ms(turn.MAX_YIELD_MS - 1)
        self.assertEqual([], play.sent(streams))
        play.pass_ms(Fleet.REPORT_MS)
        self.assertEqual(3, len(play.sent(streams)))


class RefusalTest(unittest.TestCase):
    """Requests that can't be answered before their callers leave."""

    def test_refused_at_once_if_the_wait_is_too_long(self):
        # Streams end every 400 ms, so the eighth in the queue would wait for
        # 3.2 s, but its caller leaves after 2 s.
        play = Play()
        play.fill()
        exchanges = [play.request(deadline_ms=9000) for _ in range(4)]
        for index in range(4):
            play.pass_ms(400)
            play.end(index)
            play.rig.advance(0)
            self.assertEqual(index + 2, len(play.calls))
            if index < 3:
                play.request(deadline_ms=9000)
        count = len(play.calls)
        exchanges = [play.request(body=b'shed') for _ in range(8)]
        refused = [one for one in exchanges if one.status is not None]
        self.assertTrue(0 < len(refused) < 8)
        for one in refused:
            self.assertEqual(503, one.status)
            self.assertGreaterEqual(float(one.headers['retry-after']), 0.1)
        self.assertEqual(count, len(play.calls))

    def test_refused_before_the_caller_leaves_and_never_sent(self):
        play = Play()
        play.fill()
        exchange = play.request()
        play.pass_ms(PATIENCE_MS - 1)
        self.assertEqual(503, exchange.status)
        self.assertIn('retry-after', exchange.headers)
        play.end(0)
        play.pass_ms(room.FALLBACK_INTERVAL_MS)
        self.assertEqual(1, len(play.calls))
        self.assertEqual(0, play.queue.count)


def lose_lease(play, exchange):
    """Let the lease expire for longer than a request waits."""
    play.rig.holder.is_leased = False
    play.pass_ms(PATIENCE_MS)


def disconnect(play, exchange):
    """Let the caller close the connection."""
    exchange.on_disconnect()


def reach_stop_limit(play, exchange):
    """Let a stop limit end the request."""
    exchange.early_end = exchanges.EarlyEnd.STOP_LIMIT
    exchange.on_disconnect()


def raise_in_step(play, exchange):
    """Let the next step of the request raise an exception."""
    raises = mock.Mock(side_effect=RuntimeError('injected'))
    with mock.patch.object(servers.Servers, 'candidates', raises):
        play.pass_ms(room.FALLBACK_INTERVAL_MS)


def quarantine_part(play, exchange):
    """Let a part of the prompt crash many servers elsewhere."""
    quarantine = play.rig.parts.quarantine
    for number in range(suspicions.CRASHES_TO_BLAME_PROVEN):
        quarantine.record_crash(
            key=(f'llm-{number + 1}', '1'),
            part_ids=(DEADLY_PART, f'request-{number}'),
        )
        play.pass_ms(moments.SAME_MOMENT_MS + 50)
        quarantine.judge()


def raise_at_end(play, exchange):
    """Let the caller go while the end raises an exception."""
    raises = mock.Mock(side_effect=RuntimeError('injected'))
    with mock.patch.object(part_admission.PartAdmission, 'end', raises):
        exchange.on_disconnect()


ENDS = (
    ('quarantine', quarantine_part),
    ('exception at the end', raise_at_end),
    ('caller gone', disconnect),
    ('stop limit', reach_stop_limit),
    ('deadline', lambda play, exchange: play.pass_ms(5000)),
    ('lease lost', lose_lease),
    ('exception', raise_in_step),
    (
        'no server',
        lambda play, exchange: (
            play.rig.holder.members.clear(),
            play.pass_ms(PATIENCE_MS),
        ),
    ),
    (
        'planned stop',
        lambda play, exchange: (
            play.rig.parts.shutdown.begin(duration_ms=0),
            play.pass_ms(PATIENCE_MS),
        ),
    ),
)


class Waiter:
    """A request that is parked again whenever it is woken.

    :ivar woken_ms: times at which it was woken, from the start.
    :ivar checked_ms: times at which it was asked whether it has to end.
    """

    def __init__(self, play, *, raises_in='', **fields):
        self._play = play
        self._raises_in = raises_in
        self._room = play.rig.room
        self.woken_ms = []
        self.checked_ms = []
        self.waiting_id = self._room.join(
            model.WaitingRequest(
                **{
                    'service': 'llm',
                    'urgency': 1,
                    'workspace': 'w1',
                    'due_ms': rig.START_MS + 1000,
                    'abandon_ms': rig.START_MS + 5000,
                    'min_service_ms': 10.0,
                    **fields,
                }
            )
        )
        self._room.park(self.waiting_id, self)

    def wake(self):
        """Record the time and wait again."""
        self.woken_ms.append(self._play.rig.clock.now_ms() - rig.START_MS)
        self._room.park(self.waiting_id, self)
        if self._raises_in == 'wake':
            raise RuntimeError('injected')

    def has_to_end(self):
        """Return that it may go on."""
        self.checked_ms.append(self._play.rig.clock.now_ms() - rig.START_MS)
        if self._raises_in == 'has_to_end':
            raise RuntimeError('injected')
        return False


class TimerTest(unittest.TestCase):
    """The timers of the queue, and the work at each wake."""

    def setUp(self):
        # Of the failures of a process, not each is logged.
        patcher = mock.patch.object(periodic, 'FAILURES', periodic.Failures())
        patcher.start()
        self.addCleanup(patcher.stop)

    def test_exception_stops_no_timer_and_keeps_nobody_else_waiting(self):
        for place in ('wake', 'has_to_end'):
            with self.subTest(place), self.assertLogs(level='ERROR'):
                periodic.FAILURES.count = 0
                play = Play()
                Waiter(play, raises_in=place)
                Waiter(play, service='other', raises_in=place)
                last = Waiter(play, service='third')
                duration_ms = (
                    2 * room.TICKS_PER_CHECK * room.FALLBACK_INTERVAL_MS
                )
                play.pass_ms(duration_ms)
                self.assertEqual(
                    list(
                        range(
                            room.FALLBACK_INTERVAL_MS,
                            duration_ms + 1,
                            room.FALLBACK_INTERVAL_MS,
                        )
                    ),
                    last.woken_ms,
                )

    def test_exception_while_the_order_is_determined(self):
        play = Play()
        waiter = Waiter(play)
        raises = mock.Mock(side_effect=RuntimeError('injected'))
        with (
            mock.patch.object(queue.WaitQueue, 'first', raises),
            self.assertLogs(level='ERROR'),
        ):
            play.pass_ms(room.FALLBACK_INTERVAL_MS)
        play.pass_ms(room.FALLBACK_INTERVAL_MS)
        self.assertEqual([2 * room.FALLBACK_INTERVAL_MS], waiter.woken_ms)

    def test_woken_at_the_soonest_of_several_turns(self):
        # Guards against a turn that is missed as a later one is awaited.
        play = Play()
        waiter = Waiter(play)
        play.report_demand(waiting_at_peer(urgency=9))
        for next_turn_in_ms in (50, 10):
            found = play.rig.room.turn_of(
                waiter.waiting_id,
                free_slots.FreeSlots(
                    count=1,
                    own_count=0,
                    next_turn_in_ms=next_turn_in_ms,
                    oldest_ms=0,
                ),
            )
            self.assertFalse(found.is_granted)
        play.pass_ms(room.FALLBACK_INTERVAL_MS - 1)
        self.assertEqual([10], waiter.woken_ms)

    def test_work_at_a_wake_does_not_grow_with_the_waiting(self):
        counts = []
        for waiting_count in (4, 400):
            play = Play()
            play.fill()
            for _ in range(waiting_count):
                play.request()
            count_before = order.WaitingOrder.count_before
            with mock.patch.object(
                order.WaitingOrder,
                'count_before',
                autospec=True,
                side_effect=count_before,
            ) as counted:
                play.end(0)
                play.rig.advance(0)
            self.assertEqual(2, len(play.calls))
            counts.append(counted.call_count)
        self.assertEqual(counts[0], counts[1])

    def test_checks_are_spread_over_time(self):
        # Guards against a pause of the process: 1,000 checks take 5 to 13 ms.
        play = Play()
        waiters = [Waiter(play) for _ in range(100)]
        interval_ms = room.TICKS_PER_CHECK * room.FALLBACK_INTERVAL_MS
        play.pass_ms(2 * interval_ms)
        counts = collections.Counter()
        for waiter in waiters:
            first_ms, second_ms = waiter.checked_ms
            self.assertLessEqual(first_ms, interval_ms)
            self.assertEqual(interval_ms, second_ms - first_ms)
            counts.update(waiter.checked_ms)
        self.assertEqual({100 // room.TICKS_PER_CHECK}, set(counts.values()))

    def test_nothing_is_woken_twice_at_one_instant(self):
        play = Play()
        waiter = Waiter(play)
        play.peer_load.start(play.rig.work_at(play.server_id))
        play.deliver_peer_load()
        play.peer_load.end(1)
        play.deliver_peer_load()
        play.rig.advance(0)
        self.assertEqual([0], waiter.woken_ms)
        # Guards against a second timer of a request that is parked again.
        play.pass_ms(3 * room.FALLBACK_INTERVAL_MS)
        self.assertEqual(
            [0, *(n * room.FALLBACK_INTERVAL_MS for n in (1, 2, 3))],
            waiter.woken_ms,
        )


class PlaceTest(unittest.TestCase):
    """A request that can't use a free slot does not keep others from it."""

    def occupy_memory(self, play):
        """Let a stream of the peer occupy most of the server's memory."""
        play.peer_load.start(
            server_queue.Work(
                server_id=play.server_id,
                read_ms=0.0,
                started_ms=play.rig.clock.now_ms(),
                memory_tokens=300_000,
                is_writing=True,
            )
        )
        play.deliver_peer_load()

    def test_prompt_that_lacks_memory(self):
        # Guards against free slots that stay free while a large prompt at
        # the head of the queue waits for memory.
        play = Play(slots=2)
        self.occupy_memory(play)
        large = play.request(tokens=LARGE_TOKENS, key='k-urgent')
        play.request()
        play.pass_ms(room.FALLBACK_INTERVAL_MS)
        self.assertIsNone(large.status)
        self.assertEqual(1, len(play.calls))
        play.calls[0].answer(200, body=test_forwarding.event(1), ends=False)
        play.peer_load.end(1)
        play.deliver_peer_load()
        play.pass_ms(2 * room.FALLBACK_INTERVAL_MS)
        self.assertEqual(2, len(play.calls))

    def test_prompt_that_lacks_memory_is_first_as_a_slot_becomes_free(self):
        play = Play(slots=2)
        self.occupy_memory(play)
        play.request()
        large = play.request(tokens=LARGE_TOKENS, key='k-urgent')
        play.request()
        self.assertEqual(1, len(play.calls))
        play.end(0)
        play.pass_ms(room.FALLBACK_INTERVAL_MS)
        self.assertIsNone(large.status)
        self.assertEqual(2, len(play.calls))

    def test_request_that_was_refused_by_the_server_with_the_free_slot(self):
        play = Play()
        play.rig.add_server('llm', 1, slots=1)
        play.fill(2)
        first = play.request(key='k-urgent', deadline_ms=9000)
        play.end(0)
        play.rig.advance(0)
        self.assertEqual(3, len(play.calls))
        play.calls[2].refuse()
        play.pass_ms(servers.AVOID_MS)
        # It is less urgent, so the other one comes first.
        play.request(waited_ms=LATE_MS + 1)
        play.pass_ms(room.FALLBACK_INTERVAL_MS)
        self.assertIsNone(first.status)
        self.assertEqual(4, len(play.calls))
        play.end(1)
        play.pass_ms(room.FALLBACK_INTERVAL_MS)
        self.assertEqual(5, len(play.calls))

    def test_long_prompts_that_wait_for_reads(self):
        # One waits for the read, and the other, which arrived first but is
        # due later, for its turn. The short prompt behind them gets the slot.
        play = Play(slots=2)
        play.peer_load.start(play.rig.work_at(play.server_id, read_ms=1500.0))
        play.deliver_peer_load()
        play.request()
        for waited_ms in (0, 100):
            play.request(
                tokens=test_wait.MIDDLE_TOKENS,
                key='k-urgent',
                waited_ms=waited_ms,
            )
        play.request(body=b'short')
        self.assertEqual(1, len(play.calls))
        self.assertEqual(3, play.queue.count)
        play.end(0)
        play.rig.advance(0)
        self.assertEqual([b'short'], play.sent_bodies(since=1))
        self.assertEqual(0, play.queue.count)

    def test_request_that_waits_for_a_lease(self):
        # Guards against peers that yield to a request that can't be sent.
        play = Play()
        play.fill()
        play.request()
        self.assertEqual(1, play.queue.count)
        play.rig.holder.is_leased = False
        play.pass_ms(6 * room.FALLBACK_INTERVAL_MS)
        self.assertEqual(0, play.queue.count)
        play.rig.holder.is_leased = True
        play.pass_ms(room.FALLBACK_INTERVAL_MS)
        self.assertEqual(1, play.queue.count)
        play.end(0)
        play.rig.advance(0)
        self.assertEqual(2, len(play.calls))

    def test_request_that_waits_for_a_second_server_uses_no_slot(self):
        # Guards against a workspace that seems above its share.
        play = Play()
        play.rig.add_server('llm', 1, slots=1)
        play.fill(2)
        play.calls[0].refuse()
        play.request(key='k2')
        report = play.rig.room.reporter.report(complete=True)
        used = {fields[1]: fields[2] for fields in report.in_use}
        self.assertEqual(1, used['w1'])


CALLER_LEAVES = (disconnect, raise_at_end)


class EndTest(unittest.TestCase):
    """Nothing of a request remains after its end."""

    def assert_empty(self, play):
        """Check that nothing waits and no slot is in use."""
        self.assertEqual(0, play.queue.count)
        self.assertFalse(play.queue.has_demand())
        self.assertEqual(0, play.queue.late_count)
        self.assertIsNone(play.rig.room.reporter.next_report_in_ms())
        self.assertEqual({}, play.rig.load.loads())
        # Slots in use are reported while requests wait at a peer.
        play.report_demand(waiting_at_peer())
        report = play.rig.room.reporter.report(complete=True)
        self.assertIsNone(report)
        play.report_demand()

    def test_nothing_remains_after_each_end(self):
        for name, end in ENDS:
            with self.subTest(name):
                play = Play()
                play.peer_load.start(play.rig.work_at(play.server_id))
                play.deliver_peer_load()
                exchange = play.request(
                    tokens=5000,
                    **{'prompt-prefix': f'{DEADLY_PART}:400,end:1000'},
                )
                self.assertEqual(1, play.queue.count)
                with self.assertLogs(level='INFO'):
                    end(play, exchange)
                play.peer_load.end(1)
                play.deliver_peer_load()
                if end not in CALLER_LEAVES:
                    self.assertGreaterEqual(exchange.status, 500)
                self.assertEqual([], play.calls)
                self.assert_empty(play)
                play.pass_ms(room.FALLBACK_INTERVAL_MS)
                self.assertEqual([], play.rig.reactor.getDelayedCalls())


if __name__ == '__main__':
    unittest.main()
