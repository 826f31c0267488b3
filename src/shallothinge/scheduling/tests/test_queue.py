"""Tests of the queue of waiting requests."""

import unittest

import hypothesis
from hypothesis import strategies

from shallothinge.scheduling import demand
from shallothinge.scheduling import messages
from shallothinge.scheduling import queue
from shallothinge.scheduling.tests import naive
from shallothinge.scheduling.tests import samples

SERVICE = samples.SERVICE
TURN = queue.LATE_TURN_INTERVAL
LATE = {'due_in_ms': 50}


class OrderTest(unittest.TestCase):
    """The order of R1 and R2 at one gateway."""

    def test_order(self):
        rows = (
            (
                'soonest start first',
                ({'due_in_ms': 900}, {'due_in_ms': 700}, {'due_in_ms': 800}),
                (1, 2, 0),
            ),
            (
                'long service starts sooner',
                (
                    {'due_in_ms': 900},
                    {'due_in_ms': 1500, 'min_service_ms': 1000.0},
                ),
                (1, 0),
            ),
            (
                'urgent first',
                ({'due_in_ms': 200}, {'due_in_ms': 900, 'urgency': 0}),
                (1, 0),
            ),
            (
                'in time before late and urgent',
                (LATE | {'urgency': 0}, {'urgency': 9}),
                (1, 0),
            ),
            (
                'late: urgent, then abandoned soonest',
                (
                    LATE | {'urgency': 2, 'abandon_in_ms': 300},
                    LATE | {'urgency': 1, 'abandon_in_ms': 900},
                    LATE | {'urgency': 1, 'abandon_in_ms': 500},
                ),
                (2, 1, 0),
            ),
            (
                'below its share before above',
                ({'workspace': 'big'}, {'due_in_ms': 9000}),
                (1, 0),
            ),
            (
                'urgent though above its share',
                ({'workspace': 'big', 'urgency': 0}, {}),
                (0, 1),
            ),
            ('same', ({}, {}, {}), (0, 1, 2)),
        )
        for name, requests, expected in rows:
            with self.subTest(name):
                gateway = samples.Gateway()
                gateway.used = {(SERVICE, 'big'): 5, (SERVICE, 'w'): 2}
                ids = [gateway.join(**fields) for fields in requests]
                self.assertEqual(
                    [ids[index] for index in expected],
                    gateway.queue.ranked(SERVICE),
                )
                self.assertEqual(
                    list(range(len(ids))),
                    [gateway.queue.rank(ids[index]) for index in expected],
                )

    def test_services_are_apart(self):
        # A request must never yield to one that needs other servers.
        gateway = samples.Gateway()
        first = gateway.join()
        other = gateway.join(service='other', urgency=0)
        gateway.receive(('other', 0, False, 0, 9000))
        self.assertEqual([first], gateway.queue.ranked(SERVICE))
        self.assertEqual(0, gateway.queue.rank(first))
        self.assertEqual(1, gateway.queue.rank(other))
        self.assertEqual([], gateway.queue.ranked('unknown'))

    def test_request_turns_late_as_time_passes(self):
        # The order is cached; it must not outlive the time at which a
        # request turns late.
        gateway = samples.Gateway()
        urgent = gateway.join(urgency=0, due_in_ms=300)
        other = gateway.join(due_in_ms=5000)
        gateway.pass_ms(200)
        self.assertEqual([urgent, other], gateway.queue.ranked(SERVICE))
        self.assertEqual(0, gateway.queue.late_count)
        gateway.pass_ms(1)
        self.assertEqual(1, gateway.queue.late_count)
        self.assertEqual(0, gateway.queue.rank(other))
        self.assertEqual([other, urgent], gateway.queue.ranked(SERVICE))

    def test_change_of_slots_in_use_changes_the_order(self):
        # Requests that did not wait change the slots in use unnoticed.
        gateway = samples.Gateway()
        ids = [gateway.join(workspace=one) for one in 'ab']
        self.assertEqual(ids, gateway.queue.ranked(SERVICE))
        gateway.used = {(SERVICE, 'a'): 2, (SERVICE, 'b'): 1}
        gateway.pass_ms(queue.MAX_SHARES_AGE_MS)
        self.assertEqual(ids[::-1], gateway.queue.ranked(SERVICE))

    def test_workspace_yields_to_one_that_waits_at_a_peer(self):
        # A gateway that knows its own waiting workspaces only takes another
        # one that uses little for satisfied.
        gateway = samples.Gateway()
        own = gateway.join(workspace='a')
        gateway.used = {(SERVICE, 'a'): 6, (SERVICE, 'b'): 2}
        gateway.receive(
            (SERVICE, 1, False, 8000, 9000),
            in_use=((SERVICE, 'b', 2, True),),
        )
        gateway.pass_ms(queue.MAX_SHARES_AGE_MS)
        self.assertEqual(1, gateway.queue.rank(own))

    def test_unknown_ids(self):
        gateway = samples.Gateway()
        known = gateway.join()
        gateway.queue.leave(99)
        gateway.queue.granted(99)
        gateway.queue.leave(known)
        gateway.queue.leave(known)
        gateway.queue.granted(known)
        self.assertEqual(0, gateway.queue.count)
        self.assertFalse(gateway.queue.has_demand(SERVICE))
        with self.assertRaises(KeyError):
            gateway.queue.rank(known)

    def test_demand_of_own_and_peers(self):
        rows = (
            ('none', 0, (), False),
            ('own', 1, (), True),
            ('peer', 0, ((SERVICE, 1, False, 0, 0),), True),
            ('of another service', 0, (('other', 1, False, 0, 0),), False),
        )
        for name, own_count, reported, expected in rows:
            with self.subTest(name):
                gateway = samples.Gateway()
                for _ in range(own_count):
                    gateway.join()
                gateway.receive(*reported)
                self.assertEqual(expected, gateway.queue.has_demand(SERVICE))
                self.assertEqual(
                    bool(own_count or reported), gateway.queue.has_demand()
                )


class LateTurnTest(unittest.TestCase):
    """One placement of eight is of the late request abandoned soonest."""

    def test_late_turn_comes_after_seven_placements(self):
        for granted_count in (0, 1, TURN - 2, TURN - 1, TURN, 3 * TURN):
            with self.subTest(granted=granted_count):
                gateway = samples.Gateway()
                gateway.grant(granted_count)
                first, second = (
                    gateway.join(**LATE, abandon_in_ms=one)
                    for one in (300, 400)
                )
                in_time = [gateway.join() for _ in range(TURN + 2)]
                expected = [*in_time, first, second]
                expected.remove(first)
                turn = max(0, TURN - 1 - granted_count)
                expected.insert(turn, first)
                self.assertEqual(expected, gateway.queue.ranked(SERVICE))
                self.assertEqual(turn, gateway.queue.rank(first))
                self.assertEqual(expected[:3], gateway.queue.first(SERVICE, 3))

    def test_late_turn_is_followed_by_seven_others(self):
        gateway = samples.Gateway()
        gateway.grant(TURN - 1)
        late = [
            gateway.join(**LATE, abandon_in_ms=300 + index)
            for index in range(3)
        ]
        for _ in range(3 * TURN):
            gateway.join()
        placed = []
        for _ in range(2 * TURN + 1):
            first = gateway.queue.first(SERVICE, 1)[0]
            placed.append(first)
            gateway.queue.granted(first)
        self.assertEqual(
            [0, TURN, 2 * TURN], [placed.index(one) for one in late]
        )

    def test_less_urgent_late_request_has_its_turn_among_late_ones(self):
        # Under overload all requests are late; without the turn, a class
        # that is less urgent would never be placed.
        gateway = samples.Gateway()
        less_urgent = gateway.join(**LATE, urgency=5, abandon_in_ms=200)
        for _ in range(2 * TURN):
            gateway.join(**LATE, abandon_in_ms=4000)
        self.assertEqual(TURN - 1, gateway.queue.rank(less_urgent))

    def test_placements_of_peers_count(self):
        # A gateway with late requests only places none while others have
        # requests in time, so by its own count it would never have a turn.
        peers = tuple((SERVICE, 1, False, 900, 4000) for _ in range(8))
        # Placements and late turns of a peer, rank of the late request.
        rows = (
            ('none', (0, 0), TURN - 1),
            ('three', (3, 0), TURN - 4),
            ('a round', (TURN - 1, 0), 0),
            ('rounds without a turn', (3 * TURN, 0), 0),
            ('a turn at the peer', (TURN - 1, 1), TURN - 1),
        )
        for name, counts, expected in rows:
            with self.subTest(name):
                gateway = samples.Gateway()
                late = gateway.join(**LATE)
                gateway.receive(*peers, granted=((SERVICE, 10, 1),))
                granted = (SERVICE, 10 + counts[0], 1 + counts[1])
                gateway.receive(*peers, granted=(granted,))
                self.assertEqual(expected, gateway.queue.rank(late))

    def test_turn_is_of_the_gateway_whose_request_is_abandoned_soonest(self):
        for peer_ms, own_rank in ((100, 2), (800, 0)):
            with self.subTest(peer_abandons_in_ms=peer_ms):
                gateway = samples.Gateway()
                gateway.grant(TURN)
                late = gateway.join(**LATE, urgency=2, abandon_in_ms=400)
                in_time = gateway.join()
                gateway.receive((SERVICE, 9, False, -1, peer_ms))
                self.assertEqual(own_rank, gateway.queue.rank(late))
                self.assertEqual(1, gateway.queue.rank(in_time))


class WaitTest(unittest.TestCase):
    """Expected waits, and requests that can't be served."""

    def build(self, *, rate_per_s):
        """Return a gateway with a rate of placements, now 0."""
        gateway = samples.Gateway()
        keep = gateway.join(urgency=9, due_in_ms=10**9, abandon_in_ms=10**9)
        for _ in range(rate_per_s):
            gateway.grant(1)
            gateway.pass_ms(1000 // rate_per_s)
        return gateway, keep

    def test_wait_follows_rank_and_rate(self):
        gateway, last = self.build(rate_per_s=10)
        self.assertEqual(100, gateway.queue.expected_wait_ms(last))
        ids = [gateway.join(due_in_ms=9000) for _ in range(4)]
        self.assertEqual(500, gateway.queue.expected_wait_ms(last))
        self.assertEqual(300, gateway.queue.expected_wait_ms(ids[2]))

    def test_placements_of_peers_raise_the_rate(self):
        # The rank counts the requests of all gateways. With the own
        # placements only, waits would be expected several times too long and
        # requests refused that could be served.
        gateway, last = self.build(rate_per_s=10)
        gateway.receive(granted=((SERVICE, 5, 0),))
        gateway.receive(granted=((SERVICE, 35, 0),))
        self.assertEqual(25, gateway.queue.expected_wait_ms(last))

    def test_wait_of_a_late_request_ends_with_its_turn(self):
        gateway, _ = self.build(rate_per_s=10)
        fields = {'due_in_ms': 0, 'abandon_in_ms': 9000}
        late = [gateway.join(**fields, urgency=5) for _ in range(2)]
        for _ in range(100):
            gateway.join(due_in_ms=9000)
        # Ten placements came before, so a turn is due at once.
        self.assertEqual(100, gateway.queue.expected_wait_ms(late[0]))
        self.assertEqual(900, gateway.queue.expected_wait_ms(late[1]))

    def test_wait_is_unknown_without_placements(self):
        gateway = samples.Gateway()
        first = gateway.join()
        self.assertIsNone(gateway.queue.expected_wait_ms(first))
        gateway.grant(1)
        self.assertIsNotNone(gateway.queue.expected_wait_ms(first))

    def test_rate_of_an_earlier_queue_is_forgotten(self):
        # After a time in which nothing waited, the few placements of long ago
        # would look like a low rate.
        gateway, last = self.build(rate_per_s=10)
        gateway.queue.leave(last)
        gateway.pass_ms(1000)
        again = gateway.join()
        self.assertIsNone(gateway.queue.expected_wait_ms(again))


class SummaryTest(unittest.TestCase):
    """What peers are told."""

    def test_summary_has_the_first_entries_with_relative_times(self):
        gateway = samples.Gateway()
        gateway.pass_ms(10)
        for index in range(12):
            gateway.join(due_in_ms=1000 + index)
        gateway.join(service='other', urgency=0)
        limit = messages.MAX_ENTRIES_PER_SERVICE
        self.assertEqual(
            tuple(
                (SERVICE, 1, False, 890 + index, 4990, 1 + index)
                for index in range(limit)
            )
            + (('other', 0, False, 890, 4990, 13),),
            gateway.queue.summary(),
        )

    def test_summary_has_the_late_request_with_the_next_turn(self):
        # Peers must know it, or they would not yield when its turn comes.
        gateway = samples.Gateway()
        gateway.join(**LATE, abandon_in_ms=300)
        for _ in range(12):
            gateway.join()
        entry = (SERVICE, 1, False, -50, 300, 1)
        self.assertIn(entry, gateway.queue.summary())

    def test_changes_of_the_summary_are_announced(self):
        # Reports are sent upon announced changes only; a request of which no
        # peer knows could be overtaken until the next repetition.
        def turn_late(gateway, _):
            gateway.pass_ms(901)
            gateway.queue.ranked(SERVICE)

        def change_share(gateway, _):
            gateway.used = {(SERVICE, 'w'): 2, (SERVICE, 'v'): 1}
            gateway.join(workspace='v')

        rows = (
            ('join', lambda gateway, _: gateway.join(), True),
            ('leave', lambda gateway, first: gateway.queue.leave(first), True),
            ('placed', lambda one, first: one.queue.granted(first), True),
            ('late', turn_late, True),
            ('share', change_share, True),
            ('nothing', lambda gateway, _: gateway.queue.rank(1), False),
            ('unknown', lambda gateway, _: gateway.queue.leave(99), False),
        )
        for name, act, is_change in rows:
            with self.subTest(name):
                gateway = samples.Gateway()
                first = gateway.join()
                summary = gateway.queue.summary()
                gateway.change_count = 0
                act(gateway, first)
                self.assertEqual(is_change, gateway.change_count > 0)
                self.assertEqual(is_change, summary != gateway.queue.summary())

    def test_changes_far_behind_are_not_announced(self):
        gateway = samples.Gateway()
        for _ in range(messages.MAX_ENTRIES_PER_SERVICE):
            gateway.join()
        gateway.change_count = 0
        gateway.queue.leave(gateway.join(due_in_ms=2000))
        self.assertEqual(0, gateway.change_count)


FIELDS = strategies.fixed_dictionaries(
    {
        'urgency': strategies.integers(0, 2),
        'due_in_ms': strategies.integers(-50, 300),
        'abandon_in_ms': strategies.integers(1, 400),
        'workspace': strategies.sampled_from('abc'),
    }
)
ENTRY = strategies.tuples(
    strategies.just(SERVICE),
    strategies.integers(0, 2),
    strategies.booleans(),
    strategies.integers(-50, 300),
    strategies.integers(1, 400),
)
STEP = strategies.one_of(
    strategies.tuples(strategies.just('join'), FIELDS),
    strategies.tuples(strategies.just('leave'), strategies.integers(0, 20)),
    strategies.tuples(strategies.just('grant'), strategies.integers(0, 20)),
    strategies.tuples(strategies.just('pass'), strategies.integers(1, 80)),
    strategies.tuples(
        strategies.sampled_from(('before', 'report', 'silent')),
        strategies.lists(ENTRY, max_size=4),
    ),
    strategies.tuples(
        strategies.just('use'),
        strategies.dictionaries(
            strategies.sampled_from('abc'), strategies.integers(0, 9)
        ),
    ),
)


class Steps:
    """Applies steps to a queue, and to what the requirements state."""

    def __init__(self, *, granted_count):
        self.gateway = samples.Gateway()
        self.own = {}
        self.reported = {}
        self.gateway.grant(granted_count)
        self.since_turn_count = granted_count

    def apply(self, kind, value):
        """Apply a step."""
        getattr(self, f'_{kind}', self._report_of(kind))(value)

    def _report_of(self, peer_id):
        def report(entries):
            self.gateway.receive(*entries, peer_id=peer_id)
            self.reported[peer_id] = (self.gateway.clock.now_ms(), entries)

        return report

    def _join(self, fields):
        self.own[self.gateway.join(**fields)] = samples.request(**fields)

    def _pick(self, index):
        return sorted(self.own)[index % len(self.own)] if self.own else 99

    def _leave(self, index):
        waiting_id = self._pick(index)
        self.gateway.queue.leave(waiting_id)
        self.own.pop(waiting_id, None)

    def _grant(self, index):
        waiting_id = self._pick(index)
        if waiting_id in self.own:
            late = [one for one in self.waiting() if one.is_late(self.now_ms)]
            soonest = min(late, key=lambda one: one.abandon_key, default=None)
            self.since_turn_count += 1
            if soonest and soonest.number == waiting_id:
                self.since_turn_count *= soonest.gateway_id != 'own'
            del self.own[waiting_id]
        self.gateway.queue.granted(waiting_id)

    def _pass(self, duration_ms):
        self.gateway.pass_ms(duration_ms)

    def _use(self, used):
        self.gateway.used = {
            (SERVICE, one): slots for one, slots in used.items()
        }
        self.gateway.pass_ms(queue.MAX_SHARES_AGE_MS)

    @property
    def now_ms(self):
        """Return the time."""
        return self.gateway.clock.now_ms()

    def waiting(self):
        """Return what waits, as far as this gateway knows."""
        gateway = self.gateway
        names = {one.workspace for one in self.own.values()}
        shares = samples.shares.WorkspaceShares(in_use=lambda: gateway.used)
        found = [
            naive.Waiting(
                gateway_id='own',
                number=number,
                urgency=one.urgency,
                is_above=shares.is_above_share(SERVICE, one.workspace, names),
                start_by_ms=one.start_by_ms,
                abandon_ms=one.abandon_ms,
            )
            for number, one in self.own.items()
        ]
        for peer_id, (received_ms, entries) in self.reported.items():
            if self.now_ms - received_ms > demand.DEMAND_TTL_MS:
                continue
            found += (
                naive.Waiting(
                    gateway_id=peer_id,
                    number=number,
                    urgency=urgency,
                    is_above=is_above,
                    start_by_ms=received_ms + start_by_in_ms,
                    abandon_ms=received_ms + abandon_in_ms,
                )
                for number, (
                    _,
                    urgency,
                    is_above,
                    start_by_in_ms,
                    abandon_in_ms,
                ) in enumerate(entries)
            )
        return found


class RequiredOrderTest(unittest.TestCase):
    """The order against the one that the requirements state."""

    @hypothesis.given(
        granted_count=strategies.integers(0, TURN),
        joins=strategies.lists(FIELDS, max_size=20),
        steps=strategies.lists(STEP, max_size=20),
    )
    @hypothesis.settings(max_examples=200, deadline=None)
    def test_order_is_as_required_after_any_steps(
        self, granted_count, joins, steps
    ):
        # The order is kept sorted step by step; it must be the same as that
        # of a queue sorted anew.
        played = Steps(granted_count=granted_count)
        for kind, value in [*(('join', one) for one in joins), *steps]:
            played.apply(kind, value)
            ordered = naive.order(
                played.waiting(),
                now_ms=played.now_ms,
                since_turn_count=played.since_turn_count,
            )
            own = {
                one.number: index
                for index, one in enumerate(ordered)
                if one.gateway_id == 'own'
            }
            found = played.gateway.queue
            self.assertEqual(own, {one: found.rank(one) for one in own})
            self.assertEqual(list(own), found.ranked(SERVICE))
            self.assertEqual(list(own)[:2], found.first(SERVICE, 2))
            self.assertEqual(bool(ordered), found.has_demand(SERVICE))
            self.assertEqual(
                sum(
                    one.is_late(played.now_ms)
                    for one in ordered
                    if one.gateway_id == 'own'
                ),
                found.late_count,
            )
