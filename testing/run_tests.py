"""Runs every test and check and prints one closing line of counts.

Tests that KNOWN-RED.txt lists may fail; they are printed and do not fail
the run. A listed test that passes is counted as passed.

The ids of the failed tests are printed last, each with the end of its error,
so that a log of which only the end is kept tells what failed.
"""

import os
import pathlib
import subprocess
import sys
import time
import traceback
import unittest

import hypothesis

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
SLOWEST_PRINTED = 10
# Of the error of each failed test, and the characters of each line.
ERROR_LINES = 20
LINE_CHARS = 1000
LEFT_OUT = '...'
SOURCES = ('src', 'testing', 'experiments')
CHECKS = (
    ('formatter', ('black', '--check', '--quiet', *SOURCES)),
    ('import order', ('isort', '--check-only', '--quiet', *SOURCES)),
    ('linter', ('flake8', *SOURCES)),
)


class Result(unittest.TextTestResult):
    """Collects the ids of the tests by their outcome."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.passed_ids = []
        self.failed_ids = []
        self.errors_by_id = {}
        self.durations_s = {}
        self._started_s = 0.0

    def startTest(self, test):
        """Note when a test began."""
        super().startTest(test)
        self._started_s = time.monotonic()

    def stopTest(self, test):
        """Note how long a test took."""
        self.durations_s[test.id()] = time.monotonic() - self._started_s
        super().stopTest(test)

    def addSuccess(self, test):
        """Record a passed test."""
        super().addSuccess(test)
        self.passed_ids.append(test.id())

    def addFailure(self, test, err):
        """Record a failed test."""
        super().addFailure(test, err)
        self.failed_ids.append(test.id())
        self._keep_error(test, err)

    def addError(self, test, err):
        """Record a test that ended with an error."""
        super().addError(test, err)
        self.failed_ids.append(test.id())
        self._keep_error(test, err)

    def addSubTest(self, test, subtest, err):
        """Record a failed row of a test table."""
        super().addSubTest(test, subtest, err)
        if err is not None and test.id() not in self.failed_ids:
            self.failed_ids.append(test.id())
            self._keep_error(test, err, row=subtest.id())

    def _keep_error(self, test, err, *, row=''):
        """Keep the first error of a test."""
        lines = [row] if row else []
        lines += closing_lines(err[1])
        self.errors_by_id.setdefault(test.id(), lines)


def closing_lines(error: BaseException) -> list[str]:
    """Return where an error was raised and its message, bounded.

    Of a long message the middle is left out, as of a long line.
    """
    where = traceback.format_tb(error.__traceback__)
    own = [one for one in where if str(ROOT) in one][-1:]
    message = traceback.format_exception_only(error)
    lines = ''.join((*own, *message)).splitlines()
    lines = _without_middle(lines, ERROR_LINES, [LEFT_OUT])
    return [_without_middle(line, LINE_CHARS, LEFT_OUT) for line in lines]


def _without_middle(whole, most: int, left_out):
    """Return a text or list with at most ``most`` elements and a mark."""
    if len(whole) <= most:
        return whole
    return whole[: most // 2] + left_out + whole[-(most // 2) :]


def known_red_ids() -> frozenset[str]:
    """Return the ids of the tests that are listed as known failures."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.split()[1] for line in lines if line.startswith('test: ')
    )


def run_check(*, command: tuple[str, ...]) -> bool:
    """Run one of the formatter and linter checks.

    :returns: whether it found nothing.
    """
    done = subprocess.run(
        (sys.executable, '-m', *command), cwd=ROOT, check=False
    )
    return done.returncode == 0


def run_unit_tests() -> Result:
    """Run all unit and property tests under both source folders."""
    hypothesis.settings.register_profile(
        'ci', derandomize=True, deadline=None, database=None
    )
    hypothesis.settings.load_profile('ci')
    loader = unittest.TestLoader()
    suite = unittest.TestSuite()
    suite.addTests(loader.discover(str(ROOT / 'src'), top_level_dir='src'))
    loader = unittest.TestLoader()
    suite.addTests(loader.discover(str(ROOT / 'testing'), top_level_dir='.'))
    runner = unittest.TextTestRunner(resultclass=Result, verbosity=1)
    return runner.run(suite)


def print_slowest(result: Result) -> None:
    """Print the tests that took longest."""
    slowest = sorted(result.durations_s.items(), key=lambda each: -each[1])
    for test_id, duration_s in slowest[:SLOWEST_PRINTED]:
        print(f'{duration_s:6.1f} s  {test_id}')


def main() -> int:
    """Run everything and return the exit status."""
    os.chdir(ROOT)
    passed = 0
    failed = []
    for name, command in CHECKS:
        if run_check(command=command):
            passed += 1
        else:
            failed.append(f'check: {name}')
    result = run_unit_tests()
    print_slowest(result)
    passed += len(result.passed_ids)
    known = known_red_ids()
    for test_id in result.failed_ids:
        if test_id in known:
            print(f'known red: {test_id}')
        else:
            failed.append(test_id)
    for test_id in failed:
        print(f'FAILED {test_id}')
        for line in result.errors_by_id.get(test_id, ()):
            print(f'    {line}')
    sys.stderr.flush()
    print(f'{passed} passed, {len(failed)} failed', flush=True)
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
