"""Tests of the headers between callers and backend servers."""

import unittest

import attrs

from shallothinge import errors
from shallothinge.errors import ErrorKind
from shallothinge.gateway import model
from shallothinge.http1 import messages
from shallothinge.platform import dialect
from shallothinge.quarantine import fingerprints
from shallothinge.quarantine import part_ids

REQUEST = messages.RequestHead(
    method='POST',
    target='/lohu930/2f',
    headers=(
        ('host', 'a.example'),
        ('request-attempt-id', '9c41'),
        ('last-event-id', '12'),
        ('model', 'm'),
        ('token-counts', '1460,80'),
        ('deadline-milliseconds', '10000'),
        ('credential', 'secret'),
        ('tenant', 'forged'),
        ('expected-instance', 'forged'),
        ('request-urgency', '0'),
        ('helpers', '10.0.0.1:1'),
        ('connection', 'x-hop'),
        ('x-hop', '1'),
        ('x-other', '2'),
        ('content-length', '3'),
    ),
)


class RequestTest(unittest.TestCase):
    """What a caller sends and what a backend server gets."""

    def setUp(self):
        self.dialect = dialect.PlatformDialect()
        self.request = self.dialect.read_request(head=REQUEST, body=b'abc')

    def test_fields_are_read(self):
        self.assertEqual('9c41', self.request.request_id)
        self.assertEqual(1460, self.request.prompt_tokens)
        self.assertEqual(80, self.request.answer_tokens)
        self.assertEqual(10000, self.request.deadline_ms)
        self.assertEqual('12', self.request.last_event_id)
        self.assertEqual('secret', self.request.api_key)

    def test_key_and_forged_fields_are_not_passed_on(self):
        head = self.dialect.write_request(
            model.ForwardOrder(
                request=self.request,
                server_id='i-1',
                workspace='w1',
                remaining_ms=900,
                last_event_id='15',
                helpers=(
                    model.Helper(address='10.0.0.2:1', ticket_id='t1'),
                    model.Helper(address='10.0.0.3:1'),
                ),
                urgency=1,
            )
        )
        self.assertEqual(('POST', '/lohu930/2f'), (head.method, head.target))
        self.assertEqual(
            {
                'host': 'a.example',
                'request-attempt-id': '9c41',
                'model': 'm',
                'token-counts': '1460,80',
                'x-other': '2',
                'deadline-milliseconds': '900',
                'expected-instance': 'i-1',
                'tenant': 'w1',
                'last-event-id': '15',
                'request-urgency': '1',
                'helpers': '10.0.0.2:1/t1,10.0.0.3:1',
            },
            dict(head.headers),
        )
        self.assertEqual(len(dict(head.headers)), len(head.headers))

    def read(self, name, value):
        head = messages.RequestHead(
            method='GET', target='/', headers=((name, value),)
        )
        return self.dialect.read_request(head=head, body=b'')

    def test_malformed_deadline_is_refused(self):
        for text in ('soon', '-1', '\xb2', '9' * 26, '9' * 5000):
            with self.subTest(text=text[:30]):
                with self.assertRaises(errors.ServingError) as caught:
                    self.read('deadline-milliseconds', text)
                self.assertIs(ErrorKind.BAD_REQUEST, caught.exception.kind)

    def test_tokens_that_messages_can_not_hold_count_as_not_stated(self):
        # Reports to the other gateways could not be encoded.
        for text in ('9' * 26, '9' * 5000, '\xb2', '-1', 'x', ''):
            with self.subTest(text=text[:30]):
                request = self.read('token-counts', f'{text},{text}')
                self.assertEqual(
                    (0, 0), (request.prompt_tokens, request.answer_tokens)
                )

    def test_shared_parts_of_a_prompt_are_all_but_the_last(self):
        rows = (
            ('', ()),
            ('a1:40', ()),
            ('a1:40,b2:410,c3:250', ('a1', 'b2')),
            ('A1:40, b2 :410,c3', ('a1', 'b2')),
            ('a1:40,a1:40,c3:250', ('a1',)),
            (':40,,c3', ()),
            (
                ','.join(f'{one}:1' for one in range(5000)),
                tuple(map(str, range(4999))),
            ),
        )
        for text, expected in rows:
            with self.subTest(text=text[:40]):
                request = self.dialect.read_request(
                    head=attrs.evolve(
                        REQUEST, headers=(('prompt-prefix', text),)
                    ),
                    body=b'',
                )
                self.assertEqual(expected, request.part_ids)

    def test_no_part_is_left_out_because_of_its_id(self):
        # A part that is not seen can't be found to crash servers.
        longest = 'a' * part_ids.MAX_LENGTH
        texts = (longest, f'{longest}1', f'{longest}2', 'request-1')
        listed = ','.join(f'{one}:40' for one in (*texts, 'last'))
        request = self.dialect.read_request(
            head=attrs.evolve(REQUEST, headers=(('prompt-prefix', listed),)),
            body=b'',
        )
        self.assertEqual(longest, request.part_ids[0])
        self.assertEqual(len(texts), len(set(request.part_ids)))
        for part_id in request.part_ids:
            self.assertLessEqual(len(part_id), part_ids.MAX_LENGTH)
            self.assertFalse(fingerprints.is_fingerprint(part_id))


class AnswerTest(unittest.TestCase):
    """What a backend server answers and what a caller gets."""

    def setUp(self):
        self.dialect = dialect.PlatformDialect()

    def test_answers_are_told_apart(self):
        cases = (
            (200, (('response-signature', 's'),), True, False),
            (200, (), False, False),
            (500, (('response-signature', 's'),), True, False),
            (503, (('not-executed', ''),), False, True),
            (503, (), False, False),
            (421, (), False, True),
        )
        for status, headers, is_signed, is_not_executed in cases:
            with self.subTest(status=status, headers=headers):
                answer = self.dialect.read_answer(
                    messages.ResponseHead(status=status, headers=headers)
                )
                self.assertEqual(is_signed, answer.is_signed)
                self.assertEqual(is_not_executed, answer.is_not_executed)

    def test_limit_is_read(self):
        rows = (
            ((), None, ''),
            (('1',), 1.0, ''),
            (('2.5',), 2.5, ''),
            ((' 0.5 ',), 0.5, ''),
            (('0',), 0.0, ''),
            (('',), None, 'empty'),
            (('-1',), None, '-1'),
            (('1e3',), None, '1e3'),
            (('nan',), None, 'nan'),
            (('inf',), None, 'inf'),
            (('1, 2',), None, '1, 2'),
            (('1', '2'), None, '1, 2'),
            (('\u0661',), None, '\u0661'),
            (('9' * 5000,), None, '9' * 40),
            (('soon',), None, 'soon'),
        )
        for texts, limit_per_s, unreadable in rows:
            with self.subTest(texts=texts):
                answer = self.dialect.read_answer(
                    messages.ResponseHead(
                        status=200,
                        headers=tuple(('server-limit', one) for one in texts),
                    )
                )
                self.assertEqual(limit_per_s, answer.limit_per_s)
                self.assertEqual(unreadable, answer.unreadable_limit)

    def test_only_what_did_not_run_gets_a_promising_status(self):
        for kind in ErrorKind:
            with self.subTest(kind=kind):
                error = errors.ServingError(kind=kind)
                status, _, _ = self.dialect.write_error(
                    error=error, request_id='9c41'
                )
                if error.answer.work_state is not errors.WorkState.NOT_RUN:
                    self.assertNotIn(status, dialect.PROMISING_STATUSES)

    def test_refusal_tells_when_to_come_back(self):
        error = errors.ServingError(
            kind=ErrorKind.OVERLOADED, retry_after_ms=250
        )
        status, headers, _ = self.dialect.write_error(
            error=error, request_id='9c41'
        )
        self.assertEqual(503, status)
        self.assertEqual('0.25', dict(headers)['retry-after'])
