"""Tests of backend server selection: policies, filters and state."""

import collections
import random
import unittest

from shallothinge import clock
from shallothinge import tokens
from shallothinge.bundles.model import ServingConfig
from shallothinge.membership.model import BackendServer
from shallothinge.routing import breaker
from shallothinge.routing import choice
from shallothinge.routing import filters
from shallothinge.routing import prefixes
from shallothinge.routing import subset

POLICIES = ('random', 'round_robin', 'two_choices', 'least_first_token')


def candidate(server_id, **changes):
    """Return a candidate with free capacity."""
    fields = {'limit_tokens': 100_000, **changes}
    return choice.Candidate(server_id=server_id, **fields)


def build(name):
    """Return a policy with a fixed random seed."""
    return choice.build_policy(name=name, rng=random.Random(1))


class PolicyTest(unittest.TestCase):
    """Choices of each policy."""

    def test_every_policy_chooses_one_of_the_candidates(self):
        candidates = tuple(candidate(f's{number}') for number in range(5))
        for name in POLICIES:
            with self.subTest(name):
                policy = build(name)
                chosen = {
                    policy.choose(candidates=candidates, tokens=10).server_id
                    for _ in range(200)
                }
                self.assertEqual({f's{n}' for n in range(5)}, chosen)

    def test_unknown_policy_is_refused_with_the_allowed_names(self):
        with self.assertRaisesRegex(ValueError, 'two_choices'):
            build('best')

    def test_loaded_server_is_avoided(self):
        table = (
            (
                'own requests',
                {'own_tokens': 90_000, 'own_prefill_tokens': 90_000},
            ),
            ('reported', {'reported_tokens': 90_000, 'backlog_tokens': 9_000}),
            ('nearly full', {'own_tokens': 99_999}),
        )
        for name, load in table:
            for policy in ('two_choices', 'least_first_token'):
                with self.subTest(name, policy=policy):
                    pair = (candidate('s1', **load), candidate('s2'))
                    chosen = build(policy).choose(candidates=pair, tokens=10)
                    self.assertEqual('s2', chosen.server_id)

    def test_cached_prefix_is_preferred_unless_the_server_is_full(self):
        table = ((10_000, 's1'), (99_000, 's2'))
        for own_tokens, expected in table:
            with self.subTest(own_tokens=own_tokens):
                cached = candidate(
                    's1', cached_tokens=20_000, own_tokens=own_tokens
                )
                others = [candidate(f's{n}') for n in range(2, 9)]
                chosen = build('two_choices').choose(
                    candidates=(cached, *others), tokens=21_000
                )
                is_cached = chosen.server_id == 's1'
                self.assertEqual(expected == 's1', is_cached)

    def test_requests_spread_if_all_servers_cache_the_prefix(self):
        candidates = tuple(
            candidate(f's{number}', cached_tokens=2000) for number in range(8)
        )
        for name in ('two_choices', 'least_first_token'):
            with self.subTest(name):
                policy = build(name)
                counts = collections.Counter(
                    policy.choose(candidates=candidates, tokens=3000).server_id
                    for _ in range(800)
                )
                self.assertLess(max(counts.values()), 200)

    def test_two_choices_spread_better_than_random_on_stale_reports(self):
        spread = {}
        for name in ('random', 'two_choices'):
            policy = build(name)
            own = [0] * 20
            for _ in range(2000):
                candidates = tuple(
                    candidate(f's{number:02}', own_tokens=own_tokens)
                    for number, own_tokens in enumerate(own)
                )
                chosen = policy.choose(candidates=candidates, tokens=1000)
                own[int(chosen.server_id[1:])] += 1000
            spread[name] = max(own) - min(own)
        self.assertLess(spread['two_choices'], spread['random'] / 4)


class FilterTest(unittest.TestCase):
    """Eligibility of a backend server for a request."""

    def test_reasons_to_leave_a_server_out(self):
        need = filters.Requirements(model='small@1')
        table = (
            ('usable', {}, {}, need, True),
            ('leaving', {'leaving': True}, {}, need, False),
            ('zone out', {}, {'zones_out': ('z1',)}, need, False),
            ('server out', {}, {'servers_out': ('s1',)}, need, False),
            ('other model', {'models': ('small@2',)}, {}, need, False),
            (
                'other zone',
                {},
                {},
                filters.Requirements(model='small@1', zones=('z2',)),
                False,
            ),
            ('service', {}, {}, filters.Requirements(service='jobs'), True),
            (
                'no service',
                {},
                {},
                filters.Requirements(service='other'),
                False,
            ),
        )
        for (
            name,
            server_fields,
            config_fields,
            request_need,
            expected,
        ) in table:
            with self.subTest(name):
                fields = {
                    'server_id': 's1',
                    'incarnation': 'i1',
                    'address': '',
                    'zone': 'z1',
                    'host': 'h1',
                    'models': ('small@1',),
                    'services': ('jobs',),
                    **server_fields,
                }
                self.assertEqual(
                    expected,
                    filters.is_eligible(
                        server=BackendServer(**fields),
                        config=ServingConfig(**config_fields),
                        need=request_need,
                    ),
                )


class PrefixTest(unittest.TestCase):
    """Cache reports that arrive late or get lost."""

    def setUp(self):
        self.view = prefixes.PrefixView()
        self._take(5, added=('a', 'b'), full_listing=True)

    def _take(self, sequence, *, added=(), removed=(), full_listing=False):
        return self.view.apply_report(
            sequence=sequence,
            added=added,
            removed=removed,
            full_listing=full_listing,
        )

    def test_leading_blocks_count(self):
        table = ((('a', 'b', 'c'), 2), (('b', 'a'), 2), (('c', 'a'), 0))
        for hashes, blocks in table:
            with self.subTest(hashes=hashes):
                expected = blocks * tokens.BLOCK_TOKENS
                self.assertEqual(expected, self.view.cached_tokens(hashes))

    def test_only_a_gap_asks_for_a_fresh_listing(self):
        table = (('next', 6, False), ('repeated', 5, False), ('gap', 8, True))
        for name, sequence, expected in table:
            with self.subTest(name):
                self.setUp()
                self.assertEqual(expected, self._take(sequence))

    def test_late_report_does_not_bring_a_block_back(self):
        self._take(6, removed=('b',))
        self._take(5, added=('b',))
        self.assertEqual(
            tokens.BLOCK_TOKENS, self.view.cached_tokens(('a', 'b'))
        )

    def test_after_a_gap_each_report_asks_until_the_listing_comes(self):
        self.assertTrue(self._take(9))
        self.assertTrue(self._take(10))
        self.assertFalse(self._take(10, added=('c',), full_listing=True))
        self.assertFalse(self._take(11, added=('d',)))
        self.assertEqual(0, self.view.cached_tokens(('a',)))


class SubsetTest(unittest.TestCase):
    """Subset of the servers that an entry connects to."""

    def _servers(self, count):
        return [
            BackendServer(
                server_id=f's{number}',
                incarnation='i',
                address='',
                zone='z1',
                host='h',
                models=('m1',) if number % 2 else ('m2',),
            )
            for number in range(count)
        ]

    def test_each_model_keeps_its_number_of_servers(self):
        chosen = subset.choose_subset(
            entry_id='e1', servers=self._servers(100), max_servers=10
        )
        models = [server.models[0] for server in chosen.values()]
        self.assertEqual(10, models.count('m1'))
        self.assertEqual(10, models.count('m2'))

    def test_one_server_less_changes_one_connection_at_most(self):
        servers = self._servers(100)
        before = subset.choose_subset(
            entry_id='e1', servers=servers, max_servers=10
        )
        removed_id = next(iter(before))
        after = subset.choose_subset(
            entry_id='e1',
            servers=[each for each in servers if each.server_id != removed_id],
            max_servers=10,
        )
        self.assertEqual({removed_id}, set(before) - set(after))
        self.assertEqual(1, len(set(after) - set(before)))

    def test_entries_spread_over_the_fleet(self):
        used = set()
        for number in range(30):
            used |= set(
                subset.choose_subset(
                    entry_id=f'e{number}',
                    servers=self._servers(100),
                    max_servers=10,
                )
            )
        self.assertGreater(len(used), 90)


class BreakerTest(unittest.TestCase):
    """Breaker states after consecutive failures."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.breaker = breaker.CircuitBreaker(clock=self.clock)
        for _ in range(breaker.FAILURES_TO_OPEN):
            self.breaker.record_failure()

    def test_opens_after_failures_in_a_row(self):
        self.assertFalse(self.breaker.allows_request())

    def test_one_probe_goes_after_the_open_time(self):
        self.clock.advance(duration_ms=breaker.OPEN_MS)
        self.assertTrue(self.breaker.allows_request())
        self.breaker.record_sent()
        self.assertFalse(self.breaker.allows_request())

    def test_answer_closes_it_and_another_failure_keeps_it_open(self):
        self.clock.advance(duration_ms=breaker.OPEN_MS)
        self.breaker.record_sent()
        self.breaker.record_failure()
        self.clock.advance(duration_ms=breaker.OPEN_MS)
        self.assertFalse(self.breaker.allows_request())
        self.clock.advance(duration_ms=breaker.OPEN_MS)
        self.breaker.record_sent()
        self.breaker.record_success()
        self.assertTrue(self.breaker.allows_request())
