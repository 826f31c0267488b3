"""Tests of prompts that no single engine can hold in its memory."""

import json
import unittest

from shallothinge.gateway import reservation
from shallothinge.gateway.tests import rig
from shallothinge.gateway.tests import test_forwarding

STREAM = test_forwarding.STREAM
TOO_LONG_TOKENS = 464_000


class ReservationTest(unittest.TestCase):
    """Memory is reserved before the request is sent, and released after it."""

    def setUp(self):
        fields = test_forwarding.only_engines()
        fields['routes'][0]['target-latency-ms'] = 3000
        fields['routes'][0]['timeout-ms'] = 15000
        self.rig = rig.Rig(configuration=fields)
        self.exchange = self.rig.request(
            STREAM, tokens=TOO_LONG_TOKENS, deadline_ms=15000
        )

    def orders(self, operation):
        """Return the calls and fields of all orders with an operation."""
        found = []
        for call in self.rig.caller.calls:
            if call.head.target == STREAM:
                continue
            fields = json.loads(call.body)
            if fields['operation'] == operation:
                found.append((call, fields))
        return found

    def requests(self):
        """Return the calls that forward the caller's request."""
        return [
            call
            for call in self.rig.caller.calls
            if call.head.target == STREAM
        ]

    def grant_reservations(self):
        """Accept all reservations."""
        for call, _ in self.orders('reserve'):
            call.answer(200, headers=(), body=b'{}')

    def test_memory_is_free_in_time_if_this_process_ends(self):
        # The users' requirements allow memory to stay reserved for at most
        # 4 s after the end of its last request, in each of their deployments.
        free_ms = 4000
        for _, fields in self.orders('reserve'):
            self.assertLess(fields['hold-ms'], free_ms)

    def test_request_is_sent_only_once_all_memory_is_reserved(self):
        reserved = self.orders('reserve')
        self.assertTrue(reserved)
        self.assertEqual([], self.requests())
        self.grant_reservations()
        (request,) = self.requests()
        helpers = request.head.get('helpers')
        tokens = 0
        for call, fields in reserved:
            self.assertIn(f'{call.address}/{fields["identifier"]}', helpers)
            tokens += fields['tokens']
        self.assertLessEqual(TOO_LONG_TOKENS - tokens, 405_000)

    def test_memory_is_released_however_the_request_ends(self):
        def finish(request):
            request.answer(200, body=test_forwarding.event(1))

        endings = (
            finish,
            lambda request: self.exchange.on_disconnect(),
            lambda request: self.rig.advance(15_000),
        )
        for end in endings:
            self.setUp()
            self.grant_reservations()
            end(self.requests()[0])
            self.assertEqual(
                {fields['identifier'] for _, fields in self.orders('reserve')},
                {fields['identifier'] for _, fields in self.orders('release')},
            )

    def test_refused_memory_is_looked_for_elsewhere(self):
        call, fields = self.orders('reserve')[0]
        call.answer(409, headers=())
        self.assertIn(
            fields['identifier'],
            [one['identifier'] for _, one in self.orders('release')],
        )
        later = self.orders('reserve')[1:]
        self.assertNotIn(call.address, [one.address for one, _ in later])
        self.assertIsNone(self.exchange.status)
        self.assertEqual([], self.requests())

    def test_hold_is_renewed_while_the_request_runs(self):
        self.grant_reservations()
        before = len(self.orders('reserve'))
        self.rig.advance(reservation.RENEW_MS)
        renewals = self.orders('reserve')[before:]
        self.assertEqual(before, len(renewals))
        self.requests()[0].answer(200, body=test_forwarding.event(1))
        self.rig.advance(2 * reservation.RENEW_MS)
        self.assertEqual(2 * before, len(self.orders('reserve')))

    def test_lost_release_is_sent_again(self):
        self.grant_reservations()
        self.exchange.on_disconnect()
        released = self.orders('release')
        released[0][0].fail(was_sent=True)
        self.rig.advance(reservation.RELEASE_AGAIN_MS)
        self.assertEqual(len(released) + 1, len(self.orders('release')))

    def test_prompt_that_one_engine_holds_reserves_nothing(self):
        made = rig.Rig(configuration=test_forwarding.only_engines())
        made.request(STREAM, tokens=300_000)
        self.assertEqual(
            [STREAM], [call.head.target for call in made.caller.calls]
        )


if __name__ == '__main__':
    unittest.main()
