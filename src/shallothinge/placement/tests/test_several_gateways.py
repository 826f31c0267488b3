"""Tests of gateways that place large prompts at the same moment."""

import random
import unittest

import attrs

from shallothinge.placement import choice
from shallothinge.placement import memory
from shallothinge.placement import pricing
from shallothinge.placement import server_queue
from shallothinge.placement.tests import gateways
from shallothinge.placement.tests import test_choice

SLOT_TOKENS = test_choice.ENGINE.memory_tokens // test_choice.ENGINE.slots
LARGE_TOKENS = 230_000


@attrs.frozen(kw_only=True)
class Burst:
    """Prompts that arrive at several gateways within a short time."""

    name: str
    gateway_count: int
    server_count: int
    prompts_per_gateway: int
    tokens: int
    within_ms: int

    def prompts(self, rng):
        """Return the prompts in the order of their arrival."""
        prompts = [
            gateways.Prompt(
                at_ms=rng.randint(0, self.within_ms),
                gateway=gateway,
                tokens=self.tokens,
            )
            for gateway in range(self.gateway_count)
            for _ in range(self.prompts_per_gateway)
        ]
        return sorted(prompts, key=lambda prompt: prompt.at_ms)


BURSTS = (
    Burst(
        name='one each at the same moment',
        gateway_count=4,
        server_count=20,
        prompts_per_gateway=1,
        tokens=LARGE_TOKENS,
        within_ms=0,
    ),
    Burst(
        name='few servers',
        gateway_count=4,
        server_count=8,
        prompts_per_gateway=1,
        tokens=LARGE_TOKENS,
        within_ms=0,
    ),
    Burst(
        name='two each, the second ones wait for reads',
        gateway_count=4,
        server_count=12,
        prompts_per_gateway=2,
        tokens=LARGE_TOKENS,
        within_ms=20,
    ),
)


def build_alone(rng):
    """Return a function that builds choosers without other gateways."""
    return lambda gateway_id, find_gateways: choice.Chooser(rng=rng)


def build_one_of_several(rng):
    """Return a function that builds choosers that know all gateways."""
    return lambda gateway_id, find_gateways: choice.Chooser(
        rng=rng, gateway_id=gateway_id, find_gateways=find_gateways
    )


class MemoryTest(unittest.TestCase):
    """Guards against servers that crash as requests exceed their memory.

    Gateways that choose in the time that reports take see the same free
    memory, and gave the same server more than it has.
    """

    def overcommitted_count(self, burst, build):
        """Return how many prompts of 20 plays exceeded a server's memory."""
        count = 0
        for seed in range(20):
            play = gateways.Gateways(
                service=test_choice.LLM,
                gateway_count=burst.gateway_count,
                server_count=burst.server_count,
                build_chooser=build(random.Random(seed + 1)),
            )
            prompts = burst.prompts(random.Random(seed))
            play.run(prompts)
            self.assertEqual(len(prompts), play.placed_count)
            count += play.overcommitted_count
        return count

    def test_gateways_that_know_each_other_exceed_no_memory(self):
        for burst in BURSTS:
            with self.subTest(burst.name):
                self.assertGreater(
                    self.overcommitted_count(burst, build_alone), 0
                )
                self.assertEqual(
                    0, self.overcommitted_count(burst, build_one_of_several)
                )


class PrimaryTest(unittest.TestCase):
    """The first server of a large prompt, as one of several gateways."""

    GATEWAY_IDS = ('g0', 'g1', 'g2')

    def choose(self, *candidates, gateway_id='g0', ids=GATEWAY_IDS, tokens):
        chooser = choice.Chooser(
            rng=random.Random(1),
            gateway_id=gateway_id,
            find_gateways=lambda: ids,
        )
        return chooser.choose(
            demand=test_choice.demand(tokens=tokens, objective_ms=3000.0),
            candidates=candidates,
        )

    def test_prices_of_other_gateways_are_below_that_of_a_late_answer(self):
        self.assertLess(
            memory.MAX_PRIMARY_PRICE,
            pricing.weight_of(0) * pricing.LATE_LOSS,
        )

    def test_gateways_choose_different_servers(self):
        servers = [test_choice.candidate(f's{index}') for index in range(3)]
        chosen = {
            self.choose(
                *servers, gateway_id=gateway_id, tokens=LARGE_TOKENS
            ).server_id
            for gateway_id in self.GATEWAY_IDS
        }
        self.assertEqual({'s0', 's1', 's2'}, chosen)

    def test_prompt_does_not_wait_for_the_sake_of_other_gateways(self):
        reading = server_queue.ServerLoad(backlog_ms=2500.0)
        for gateway_id in self.GATEWAY_IDS:
            with self.subTest(gateway_id):
                placed = self.choose(
                    test_choice.candidate('reading-1', load=reading),
                    test_choice.candidate('reading-2', load=reading),
                    test_choice.candidate('idle'),
                    gateway_id=gateway_id,
                    tokens=SLOT_TOKENS + 1,
                )
                self.assertEqual('idle', placed.server_id)

    def test_server_with_memory_for_two_such_prompts_is_preferred(self):
        # Guards against a choice by the number of requests alone: the request
        # of a silent gateway, or of one that chooses at the same moment,
        # exceeds the memory of a server that has just enough for this prompt.
        for name, fields in (
            ('little memory', {'memory_tokens': 250_000}),
            ('held by a silent gateway', {'unconfirmed_tokens': 350_000}),
        ):
            servers = [
                test_choice.candidate(
                    f'scarce-{index}', load=server_queue.ServerLoad(**fields)
                )
                for index in range(3)
            ] + [
                test_choice.candidate(
                    f'ample-{index}', load=server_queue.ServerLoad(active=1)
                )
                for index in range(3)
            ]
            for gateway_id in self.GATEWAY_IDS:
                with self.subTest(name, gateway_id=gateway_id):
                    placed = self.choose(
                        *servers, gateway_id=gateway_id, tokens=100_000
                    )
                    self.assertIn('ample', placed.server_id)

    def test_server_with_little_memory_is_used_if_there_is_no_other(self):
        load = server_queue.ServerLoad(
            memory_tokens=250_000, unconfirmed_tokens=350_000
        )
        for gateway_id in self.GATEWAY_IDS:
            with self.subTest(gateway_id):
                placed = self.choose(
                    test_choice.candidate('scarce', load=load),
                    gateway_id=gateway_id,
                    tokens=100_000,
                )
                self.assertEqual('scarce', placed.server_id)

    def test_small_prompts_and_single_gateways_choose_as_before(self):
        rng = random.Random(5)
        for tokens, ids in (
            (SLOT_TOKENS, self.GATEWAY_IDS),
            (LARGE_TOKENS, ('g0',)),
            (LARGE_TOKENS, ()),
        ):
            for _ in range(20):
                servers = tuple(
                    test_choice.candidate(
                        f's{index}',
                        rank=index / 12,
                        load=server_queue.ServerLoad(
                            active=rng.randrange(4),
                            memory_tokens=rng.randrange(300_000),
                            unconfirmed_tokens=rng.randrange(300_000),
                        ),
                    )
                    for index in range(12)
                )
                with self.subTest(tokens=tokens, ids=ids):
                    before = choice.Chooser(rng=random.Random(1)).choose(
                        demand=test_choice.demand(
                            tokens=tokens, objective_ms=3000.0
                        ),
                        candidates=servers,
                    )
                    self.assertEqual(
                        before, self.choose(*servers, ids=ids, tokens=tokens)
                    )
