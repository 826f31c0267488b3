"""Tests of answers by which an engine may not have stated a refusal."""

import json
import unittest

from shallothinge.agent import http
from shallothinge.agent import running
from shallothinge.errors import ErrorKind
from shallothinge.standin import model as engines

PROXY_PAGE = b'<html>503 Service Unavailable</html>'


def answer(status, body):
    """Return a whole answer of an engine."""
    return http.Answer(
        status=status,
        content_type='application/json',
        retry_after_ms=0,
        body=body,
    )


class RefusalTest(unittest.TestCase):
    """Which answers state that a stream did not run."""

    def test_status_without_a_stated_error_is_no_refusal(self):
        # Such a stream was sent again as if it had not run.
        for status in running.REFUSAL_STATUSES:
            for body in (b'', PROXY_PAGE, b'{}', b'[]', b'{"error": "odd"}'):
                with self.subTest(status=status, body=body):
                    self.assertIsNone(running.refusal_of(answer(status, body)))

    def test_stated_error_with_another_status_is_no_refusal(self):
        body = json.dumps({'error': 'overloaded'}).encode()
        for status in (200, 408, 429, 500, 502, 504):
            with self.subTest(status=status):
                self.assertIsNone(running.refusal_of(answer(status, body)))

    def test_each_error_that_an_engine_states_is_a_refusal(self):
        for refusal, status in engines.HTTP_STATUSES.items():
            with self.subTest(refusal=refusal):
                body = json.dumps({'error': refusal.value}).encode()
                kind = running.refusal_of(answer(status, body))
                self.assertIsInstance(kind, ErrorKind)
