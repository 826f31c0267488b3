"""Tests of what the run of all tests prints at its end."""

import contextlib
import io
import unittest
from unittest import mock

from testing import run_tests

HEADING = 'testing.test_run_tests._Failing'


class _Failing(unittest.TestCase):
    """Fails in some ways; loaded only by the tests below."""

    def passes(self):
        pass

    def fails(self):
        self.assertEqual((), ('no end after 9 s',), 'kept in /run')

    def ends_with_an_error(self):
        raise OSError('address in use')

    def fails_in_rows(self):
        for row in range(3):
            with self.subTest(row=row):
                self.assertEqual(1, row, 'of a row')

    def fails_at_length(self):
        self.fail('\n'.join(f'line {number}' for number in range(500)))

    def fails_with_a_long_line(self):
        self.fail(f'begins {"x" * 100_000} ends')


class ClosingListTest(unittest.TestCase):
    """The last lines of the output, of which a log may keep no more."""

    def closing(self, *names, known=()):
        """Return the exit status and the lines from the first failure on."""
        suite = unittest.TestSuite(_Failing(name) for name in names)
        runner = unittest.TextTestRunner(
            resultclass=run_tests.Result, stream=io.StringIO()
        )
        result = runner.run(suite)
        printed = io.StringIO()
        with (
            mock.patch.object(
                run_tests, 'run_check', autospec=True, return_value=True
            ),
            mock.patch.object(
                run_tests, 'run_unit_tests', autospec=True, return_value=result
            ),
            mock.patch.object(
                run_tests,
                'known_red_ids',
                autospec=True,
                return_value=frozenset(known),
            ),
            contextlib.redirect_stdout(printed),
        ):
            status = run_tests.main()
        _, _, found = printed.getvalue().rpartition(f' s  {HEADING}')
        return status, found.splitlines()[1:]

    def test_log_of_which_the_end_is_kept_tells_what_failed(self):
        rows = (
            ('fails', ('no end after 9 s', 'kept in /run')),
            ('ends_with_an_error', ('OSError: address in use',)),
            ('fails_in_rows', ('row=0', 'of a row')),
            ('fails_at_length', ('line 0', 'line 499')),
            ('fails_with_a_long_line', ('begins', 'ends')),
        )
        for name, parts in rows:
            with self.subTest(name):
                status, lines = self.closing('passes', name)
                self.assertEqual(1, status)
                self.assertEqual(f'FAILED {HEADING}.{name}', lines[0])
                self.assertEqual('4 passed, 1 failed', lines[-1])
                for part in ('test_run_tests.py", line ', *parts):
                    self.assertIn(part, '\n'.join(lines[1:-1]))
                self.assertLess(len(lines), 25)
                self.assertLess(max(map(len, lines)), 1100)

    def test_each_failure_is_followed_by_its_own_error(self):
        _, lines = self.closing('fails', 'ends_with_an_error')
        second = lines.index(f'FAILED {HEADING}.ends_with_an_error')
        self.assertIn('no end after 9 s', '\n'.join(lines[:second]))
        self.assertIn('address in use', '\n'.join(lines[second:]))

    def test_nothing_follows_the_count_of_a_run_without_failures(self):
        known = f'{HEADING}.fails'
        status, lines = self.closing('passes', 'fails', known=(known,))
        self.assertEqual(0, status)
        self.assertEqual([f'known red: {known}', '4 passed, 0 failed'], lines)


if __name__ == '__main__':
    unittest.main()
