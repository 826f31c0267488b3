"""Tests of requests to servers that limit the rate of requests."""

import itertools
import unittest

from shallothinge.gateway.tests import gateways
from shallothinge.gateway.tests import rig
from shallothinge.gateway.tests import test_forwarding

BOOKING = test_forwarding.BOOKING
SERVERS = tuple(f'10.0.0.{index}:4' for index in range(3))
REQUEST_INTERVAL_MS = 50
# The users' bound: in 4 s one and a half times what the limit allows and 5
# requests, 3 s after the server has first named it.
WINDOW_MS = 4000
BINDING_AFTER_MS = 3000


def allowed(limit_per_s):
    """Return how many requests a server may get in a window."""
    return 1.5 * limit_per_s * WINDOW_MS / 1000 + 5


class Load:
    """Callers' requests, and servers of which some name a limit."""

    def __init__(self, *, gateway_count, limits, status=200):
        self.gateways = gateways.Gateways(
            count=gateway_count, configuration=test_forwarding.only_engines()
        )
        self.limits = dict(limits)
        self.status = status
        self.exchanges = []
        self._turns = itertools.cycle(self.gateways.rigs)

    def answer(self, call):
        """Answer a call as the server does that it reached."""
        headers = rig.SIGNED
        if call.address in self.limits:
            text = f'{self.limits[call.address]:g}'
            headers = (*headers, ('server-limit', text))
        call.answer(self.status, headers=headers, body=b'done')

    def run(self, duration_ms):
        """Send a request each interval, to the gateways in turn."""
        end_ms = self.gateways.now_ms + duration_ms
        while self.gateways.now_ms < end_ms:
            if self.gateways.now_ms % REQUEST_INTERVAL_MS == 0:
                self.exchanges.append(next(self._turns).request(BOOKING))
            self.gateways.step(answer=self.answer)


class LimitTest(unittest.TestCase):
    """The requests of all gateways to servers that name a limit."""

    def test_server_gets_no_more_than_its_limit_from_all_gateways(self):
        counts, limits_per_s, limited_counts = (1, 3, 8), (0.5, 1, 2.5), (1, 3)
        rows = [
            *itertools.product(counts, limits_per_s, limited_counts, (200,)),
            (8, 1, 1, 500),
            (8, 1, 3, 500),
        ]
        for row in rows:
            gateway_count, limit_per_s, limited_count, status = row
            limited = SERVERS[:limited_count]
            with self.subTest(row=row):
                load = Load(
                    gateway_count=gateway_count,
                    limits=dict.fromkeys(limited, limit_per_s),
                    status=status,
                )
                load.run(9_000)
                for address in limited:
                    most = load.gateways.most_in_window(
                        address, window_ms=WINDOW_MS, from_ms=BINDING_AFTER_MS
                    )
                    self.assertLessEqual(most, allowed(limit_per_s))
