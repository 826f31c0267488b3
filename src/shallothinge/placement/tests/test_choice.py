"""Tests of placing prompts of very different lengths."""

import collections
import random
import unittest

from shallothinge.placement import choice
from shallothinge.placement import free_slots
from shallothinge.placement import server_queue
from shallothinge.placement.tests import simulation
from shallothinge.routes import model

ENGINE = model.EngineCost(
    slots=8,
    memory_tokens=405_000,
    step_ms=1.31,
    read_tokens_per_ms=154.0,
    pair_ms_per_million=0.162,
    chunk_tokens=2048,
    steps_per_pass=34,
)
LLM = model.Service(name='llm', engine=ENGINE)
DESK = model.Service(name='desk')


def candidate(server_id, **fields):
    return choice.Candidate(
        **{
            'server_id': server_id,
            'zone': 'z',
            'slots': 8,
            'is_cold': False,
            **fields,
        }
    )


def demand(*, service=LLM, tokens=5_000, objective_ms=300.0):
    return choice.Demand(
        service=service,
        tokens=tokens,
        objective_ms=objective_ms,
        pause_objective_ms=250,
        zone='z',
    )


READING = server_queue.ServerLoad(
    active=1,
    backlog_ms=900.0,
    reads=(
        server_queue.PendingRead(
            ends_in_ms=900.0, due_in_ms=2000.0, weight=5.0
        ),
    ),
)
WRITING = server_queue.ServerLoad(
    active=3, writers=(server_queue.Writer(pause_ms=250, weight=1.5),) * 3
)
FULL = server_queue.ServerLoad(active=8)


class ChooserTest(unittest.TestCase):
    """Placement of single requests."""

    def setUp(self):
        self.chooser = choice.Chooser(rng=random.Random(1))

    def choose(self, wanted, *candidates):
        return self.chooser.choose(demand=wanted, candidates=candidates)

    def test_short_prompt_does_not_wait_behind_a_long_read(self):
        placed = self.choose(
            demand(), candidate('busy', load=READING), candidate('idle')
        )
        self.assertEqual('idle', placed.server_id)

    def test_short_prompt_joins_streams_and_leaves_servers_idle(self):
        placed = self.choose(
            demand(), candidate('idle'), candidate('writing', load=WRITING)
        )
        self.assertEqual('writing', placed.server_id)
        self.assertEqual((), placed.helper_ids)

    def test_long_read_keeps_off_streams_that_it_would_hold_up(self):
        placed = self.choose(
            demand(tokens=100_000, objective_ms=3000.0),
            candidate('writing', load=WRITING),
            candidate('idle-1'),
            candidate('idle-2'),
        )
        self.assertNotIn('writing', (placed.server_id, *placed.helper_ids))

    def test_prompt_too_long_for_one_server_is_spread(self):
        servers = [candidate(f's{index}') for index in range(12)]
        placed = self.choose(
            demand(tokens=260_000, objective_ms=4057.0), *servers
        )
        self.assertLess(placed.first_event_ms, 4057)
        self.assertEqual(
            1 + len(placed.helper_ids),
            len({placed.server_id, *placed.helper_ids}),
        )

    def test_long_prompt_delays_streams_rather_than_miss_its_objective(self):
        # After a burst of short prompts, every server but two still generates
        # one short stream. The other two have shares of prompts to read.
        writing = server_queue.ServerLoad(
            active=1, writers=(server_queue.Writer(pause_ms=250, weight=1.5),)
        )
        reading = server_queue.ServerLoad(
            helping=2,
            backlog_ms=1700,
            reads=tuple(
                server_queue.PendingRead(
                    ends_in_ms=end_ms, due_in_ms=2800, weight=30
                )
                for end_ms in (800, 1700)
            ),
        )
        placed = self.choose(
            demand(tokens=300_000, objective_ms=3000.0),
            *(candidate(f'w{index}', load=writing) for index in range(19)),
            *(candidate(f'r{index}', load=reading) for index in range(2)),
        )
        self.assertLess(placed.first_event_ms, 3000)

    def test_only_server_with_memory_is_taken_though_it_is_busy(self):
        full = server_queue.ServerLoad(memory_tokens=400_000)
        busy = server_queue.ServerLoad(active=1, backlog_ms=900.0)
        placed = self.choose(
            demand(),
            candidate('full-1', load=full),
            candidate('full-2', load=full),
            candidate('busy', load=busy),
        )
        self.assertEqual('busy', placed.server_id)

    def test_slow_server_gets_no_short_prompt_while_others_are_sound(self):
        # Guards against first servers of a zone that are slow and yet get
        # most of the short prompts.
        for pace, server_id in ((1.0, 's0'), (4.0, 's1')):
            placed = self.choose(
                demand(),
                candidate('s0', rank=0.0, pace=pace),
                candidate('s1', rank=0.5),
            )
            with self.subTest(pace=pace):
                self.assertEqual(server_id, placed.server_id)

    def test_slow_server_helps_with_no_prompt_that_it_would_make_late(self):
        placed = self.choose(
            demand(tokens=160_000, objective_ms=3000.0),
            *(candidate(f's{index}') for index in range(5)),
            candidate('slow', pace=4.0),
        )
        self.assertNotIn('slow', (placed.server_id, *placed.helper_ids))

    def test_slow_server_is_not_given_more_time(self):
        # Guards against requests that are refused in a stop because both the
        # pace of the only server and its recent answers count as delays.
        for tokens in (5_000, 160_000):
            times_ms = {
                self.choose(
                    demand(tokens=tokens), candidate('s', pace=pace)
                ).first_event_ms
                for pace in (1.0, 4.0)
            }
            with self.subTest(tokens=tokens):
                self.assertEqual(1, len(times_ms))

    def test_short_prompts_gather_on_the_first_servers_of_a_zone(self):
        placed = self.choose(
            demand(),
            *(candidate(f's{rank}', rank=rank / 5) for rank in (3, 1, 2, 4)),
        )
        self.assertEqual('s1', placed.server_id)

    def test_stream_that_is_resumed_avoids_a_server_that_reads(self):
        placed = self.choose(
            demand(tokens=8_000, objective_ms=-1500.0),
            candidate('busy', load=READING),
            candidate('writing', load=WRITING),
        )
        self.assertEqual('writing', placed.server_id)

    def test_gateways_choose_differently_among_last_slots(self):
        # Guards against gateways that all take the same slot: every server
        # has one free slot, and each gateway has a waiting request.
        servers = [
            candidate(
                f's{index}',
                rank=index / 8,
                load=server_queue.ServerLoad(active=7),
            )
            for index in range(8)
        ]
        chosen = {
            choice.Chooser(rng=random.Random(seed))
            .choose(demand=demand(), candidates=tuple(servers))
            .server_id
            for seed in range(8)
        }
        self.assertGreaterEqual(len(chosen), 4)

    def test_server_that_helps_as_many_as_it_has_slots_is_no_helper(self):
        helping = server_queue.ServerLoad(helping=8)
        placed = self.choose(
            demand(tokens=260_000, objective_ms=4057.0),
            candidate('a'),
            candidate('b'),
            candidate('helping', load=helping),
        )
        self.assertNotIn('helping', placed.helper_ids)

    def test_no_room_is_told(self):
        for service in (LLM, DESK):
            full = server_queue.ServerLoad(
                active=8 * free_slots.MAX_REQUESTS_PER_SLOT
            )
            placed = self.choose(
                demand(service=service), candidate('s', load=full)
            )
            self.assertIsInstance(placed, choice.NoCapacity)
            self.assertGreater(placed.free_in_ms, 0)

    def test_call_goes_to_the_least_busy_server(self):
        placed = self.choose(
            demand(service=DESK),
            candidate('busy', load=server_queue.ServerLoad(active=4)),
            candidate('calm', load=server_queue.ServerLoad(active=1)),
            candidate('full', load=FULL),
        )
        self.assertEqual('calm', placed.server_id)

    def test_cold_server_is_the_last_choice(self):
        placed = self.choose(
            demand(service=DESK),
            candidate('cold', is_cold=True),
            candidate('warm', load=server_queue.ServerLoad(active=5)),
        )
        self.assertEqual('warm', placed.server_id)


class LeastActive:
    """Baseline: the server with the fewest requests, without helpers."""

    def choose(self, *, demand, candidates):
        """Return the candidate with the fewest requests."""
        best = min(candidates, key=lambda one: one.load.active)
        return choice.Placement(
            server_id=best.server_id,
            helper_ids=(),
            part_ms=demand.service.engine.read_ms(demand.tokens),
            first_event_ms=0.0,
            load=best.load,
        )


class HeavyLoadTest(unittest.TestCase):
    """Simulation of bursts of long and short prompts on 21 servers.

    Rates and sizes are those of an afternoon with three times the usual
    number of portfolio reviews and fewer short questions.
    """

    SHORT = (300.0, 250, 38)
    MIDDLE = (1500.0, 600, 23)
    LONG = (3000.0, 1000, 19)

    def requests(self, seed):
        """Return the requests of ten seconds."""
        rng = random.Random(seed)
        requests = []
        for count, tokens, spread, kind in (
            (80, 4_000, 0.9, self.SHORT),
            (15, 42_000, 0.4, self.MIDDLE),
            (14, 160_000, 0.5, self.LONG),
        ):
            objective_ms, pause_ms, events = kind
            for _ in range(count):
                size = int(tokens * rng.lognormvariate(0, spread))
                requests.append(
                    simulation.Request(
                        at_ms=rng.uniform(0, 10_000),
                        tokens=min(size, 400_000),
                        events=events,
                        objective_ms=objective_ms,
                        pause_ms=pause_ms,
                    )
                )
        return sorted(requests, key=lambda request: request.at_ms)

    def share_in_time(self, chooser, seed):
        """Return the share of callers served in time, by kind."""
        requests = self.requests(seed)
        simulation.Simulation(
            service=LLM, server_count=21, chooser=chooser
        ).run(requests)
        return _shares_in_time(requests)

    def requests_after_a_burst(self, seed):
        """Return a burst of short prompts, then one of long prompts.

        Rates are those of a heavy day: for ten seconds short prompts arrive
        at 2.5 times their usual rate, then long ones at 2.8 times theirs.
        """
        rng = random.Random(seed)
        requests = []
        for begin_ms, end_ms, count, tokens, spread, kind in (
            (0, 10_000, 525, 4_000, 0.7, self.SHORT),
            (0, 10_000, 6, 42_000, 0.3, self.MIDDLE),
            (10_000, 20_000, 75, 4_000, 0.7, self.SHORT),
            (10_000, 20_000, 15, 42_000, 0.3, self.MIDDLE),
            (10_000, 20_000, 15, 230_000, 0.4, self.LONG),
        ):
            objective_ms, pause_ms, events = kind
            for _ in range(count):
                size = int(tokens * rng.lognormvariate(0, spread))
                requests.append(
                    simulation.Request(
                        at_ms=rng.uniform(begin_ms, end_ms),
                        tokens=min(size, 390_000),
                        events=events,
                        objective_ms=objective_ms,
                        pause_ms=pause_ms,
                    )
                )
        return sorted(requests, key=lambda request: request.at_ms)

    def test_long_prompts_after_a_burst_of_short_ones_are_in_time(self):
        shares = []
        for seed in range(1, 13):
            requests = self.requests_after_a_burst(seed)
            simulation.Simulation(
                service=LLM,
                server_count=21,
                chooser=choice.Chooser(rng=random.Random(seed)),
            ).run(requests)
            shares.append(_shares_in_time(requests))
        for kind in (self.SHORT, self.MIDDLE, self.LONG):
            mean = sum(share[kind] for share in shares) / len(shares)
            # The users' target for a standard day is nine of ten.
            self.assertGreaterEqual(mean, 0.9, kind)

    def steady_requests(self, seed):
        """Return 30 s of short prompts, with a few long ones among them."""
        rng = random.Random(seed)
        requests = []
        for count, tokens, spread, kind in (
            (1000, 4_000, 0.7, self.SHORT),
            (30, 42_000, 0.3, self.MIDDLE),
            (15, 160_000, 0.4, self.LONG),
        ):
            objective_ms, pause_ms, events = kind
            for _ in range(count):
                size = int(tokens * rng.lognormvariate(0, spread))
                requests.append(
                    simulation.Request(
                        at_ms=rng.uniform(0, 30_000),
                        tokens=min(size, 390_000),
                        events=events,
                        objective_ms=objective_ms,
                        pause_ms=pause_ms,
                    )
                )
        return sorted(requests, key=lambda request: request.at_ms)

    def run_with_slow_servers(self, seed, **fields):
        """Return requests and simulation of 24 servers, a sixth of them slow.

        Slow servers take 4 times as long as the cost model expects.
        """
        slow_ids = random.Random(seed).sample(range(24), 4)
        requests = self.steady_requests(seed)
        played = simulation.Simulation(
            service=LLM,
            server_count=24,
            chooser=choice.Chooser(rng=random.Random(seed)),
            **{
                'slow_paces': {f's{index}': 4.0 for index in slow_ids},
                **fields,
            },
        )
        played.run(requests)
        return requests, played

    def test_fewer_short_prompts_are_late_where_paces_are_measured(self):
        late_shares = collections.defaultdict(list)
        for measures_pace in (False, True):
            for seed in (1, 2):
                requests, _ = self.run_with_slow_servers(
                    seed, measures_pace=measures_pace
                )
                share = _shares_in_time(requests)[self.SHORT]
                late_shares[measures_pace].append(1 - share)
        self.assertLess(sum(late_shares[True]), 0.8 * sum(late_shares[False]))

    def test_long_prompts_after_a_burst_avoid_slow_servers(self):
        # Guards against measuring only first events of short prompts: most
        # slow servers read parts of long prompts alone, and made them late.
        shares = collections.defaultdict(list)
        for measures_pace in (False, True):
            for seed in (1, 2, 3):
                requests = self.requests_after_a_burst(seed)
                slow_ids = random.Random(seed).sample(range(24), 4)
                simulation.Simulation(
                    service=LLM,
                    server_count=24,
                    chooser=choice.Chooser(rng=random.Random(seed)),
                    slow_paces={f's{index}': 4.0 for index in slow_ids},
                    measures_pace=measures_pace,
                ).run(requests)
                share = _shares_in_time(requests)[self.LONG]
                shares[measures_pace].append(share)
        self.assertGreater(sum(shares[True]), sum(shares[False]) + 0.9)

    def test_measured_paces_change_nothing_where_servers_are_sound(self):
        shares = [
            _shares_in_time(
                self.run_with_slow_servers(
                    1, slow_paces={}, measures_pace=measures_pace
                )[0]
            )
            for measures_pace in (False, True)
        ]
        self.assertEqual(*shares)

    def test_server_that_has_recovered_is_found_again(self):
        # The first server of the zone is slow for ten seconds.
        first_id = min(
            choice.rank_servers(f's{index}' for index in range(24)).items(),
            key=lambda item: item[1],
        )[0]
        requests, played = self.run_with_slow_servers(
            1,
            slow_paces={first_id: 4.0},
            sound_from_ms=10_000,
            measures_pace=True,
        )
        at_first = [
            one for one in requests if one.server is played.servers[first_id]
        ]
        counts = collections.Counter(
            int(one.at_ms // 10_000) for one in at_first
        )
        self.assertLess(2 * counts[0], counts[2])
        self.assertEqual(1.0, played.paces.pace((first_id, '')))

    def test_callers_of_all_lengths_are_served_in_time(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                chooser_shares = self.share_in_time(
                    choice.Chooser(rng=random.Random(seed)), seed
                )
                baseline_shares = self.share_in_time(LeastActive(), seed)
                for kind in chooser_shares:
                    self.assertGreaterEqual(chooser_shares[kind], 0.8)
                    self.assertGreaterEqual(
                        chooser_shares[kind], baseline_shares[kind]
                    )
                self.assertGreater(
                    chooser_shares[self.LONG], baseline_shares[self.LONG] + 0.2
                )


def _shares_in_time(requests):
    """Return the share of callers served in time, by kind of request."""
    by_kind = collections.defaultdict(list)
    for one in requests:
        kind = (one.objective_ms, one.pause_ms, one.events)
        by_kind[kind].append(one.is_in_time)
    return {kind: sum(each) / len(each) for kind, each in by_kind.items()}


class ContendedTest(unittest.TestCase):
    """Slots for which other requests wait, too.

    Guards against slots that are taken out of turn, and against requests that
    wait for a time that never comes.
    """

    def test_free_slots(self):
        rows = (
            ('none', LLM, (candidate('a', load=FULL),), (0, None, None)),
            (
                'own and in turn',
                LLM,
                (
                    candidate('a', slots=2, free_ms=5),
                    candidate('b', slots=3, free_ms=9, turn_in_ms=20),
                    candidate('c', slots=3, free_ms=7, turn_in_ms=10),
                ),
                (2, 10, 9),
            ),
            (
                'a slot beside a long prompt that holds the memory',
                LLM,
                (
                    candidate(
                        'a',
                        load=server_queue.ServerLoad(
                            active=1, memory_tokens=LLM.engine.memory_tokens
                        ),
                        free_ms=60,
                    ),
                    candidate('b', slots=2, free_ms=5),
                ),
                (2, None, 5),
            ),
            (
                'three requests a slot without an engine',
                DESK,
                (candidate('a', load=FULL, free_ms=4),),
                (16, None, 4),
            ),
        )
        for name, service, candidates, expected in rows:
            with self.subTest(name):
                found = free_slots.find(demand(service=service), candidates)
                self.assertEqual(
                    expected,
                    (found.own_count, found.next_turn_in_ms, found.oldest_ms),
                )

    def test_only_slots_in_turn_that_have_been_free_are_taken(self):
        candidates = (
            candidate('turn', turn_in_ms=1, free_ms=60),
            candidate('new', free_ms=59),
            candidate('old', free_ms=60, zone='other'),
        )
        for service in (LLM, DESK):
            for count, expected in ((3, 'old'), (2, None)):
                with self.subTest(service=service.name, expected=expected):
                    placed = choice.Chooser(rng=random.Random(1)).choose(
                        demand=demand(service=service),
                        candidates=candidates[:count],
                        is_contended=True,
                        min_free_ms=60,
                    )
                    found = getattr(placed, 'server_id', None)
                    self.assertEqual(expected, found)

    def test_lack_of_memory_is_told_from_that_of_slots(self):
        full = server_queue.ServerLoad(
            active=1, memory_tokens=ENGINE.memory_tokens
        )
        # A short prompt waits for a slot with memory in the order of the
        # others; when it polled for one, the queue was of no use.
        for name, load, tokens, lacks_memory in (
            ('short, no slot', FULL, 5_000, False),
            ('short, no memory', full, 5_000, False),
            ('long, no slot', FULL, 100_000, False),
            ('long, no memory', full, 100_000, True),
        ):
            with self.subTest(name):
                placed = choice.Chooser(rng=random.Random(1)).choose(
                    demand=demand(tokens=tokens),
                    candidates=(candidate('a', load=load),),
                )
                self.assertEqual(lacks_memory, placed.lacks_memory)
