"""Measures what prompts of many parts cost the quarantine.

Prints the median time in microseconds that a gateway spends on one request
whose answer is complete, on a crash, and on the report of one, by the number
of parts of each prompt; then the resident memory before and after crashes
under the longest heads, no two of which share a part.

    python -m experiments.quarantine_cost
"""

import logging
import statistics
import time

from shallothinge import clock as clocks
from shallothinge import memory
from shallothinge.http1 import messages
from shallothinge.platform import dialect
from shallothinge.platform import names
from shallothinge.quarantine import state

PART_COUNTS = (8, 64, 400, 1000)
ROUNDS = 20
CRASHES = 60
GAP_MS = 200
NS_PER_US = 1000
HEAD_BYTES = 16 * 1024
REQUESTS_OF_CRASH = 8
SECRET_PART = 'dead07a2'


def main() -> None:
    """Print the tables."""
    logging.disable(logging.CRITICAL)
    print('parts  read  admit  complete  crash  report of a crash (us)')
    for count in PART_COUNTS:
        print(_row(count))
    print(_memory_row())


def _read(parts: list[str]) -> tuple[str, ...]:
    listed = ','.join(f'{one}:40' for one in (*parts, 'ffffffff'))
    head = messages.RequestHead(
        method='POST', target='/', headers=((names.PROMPT_PARTS, listed),)
    )
    request = dialect.PlatformDialect().read_request(head=head, body=b'')
    return request.part_ids


def _median_us(durations_ns: list[int]) -> str:
    return f'{statistics.median(durations_ns) / NS_PER_US:.0f}'


def _timed(durations_ns: list[int], action) -> object:
    began_ns = time.perf_counter_ns()
    result = action()
    durations_ns.append(time.perf_counter_ns() - began_ns)
    return result


def _row(count: int) -> str:
    clock = clocks.ManualClock(start_ms=1_000_000)
    one = state.PartQuarantine(clock=clock)
    peer = state.PartQuarantine(clock=clock)
    shared = [f'{0x5C1E0700 + index:08x}' for index in range(count)]
    # Crashes under other prompts, each of which has some of the same parts.
    for number in range(CRASHES):
        clock.advance(duration_ms=GAP_MS)
        one.record_whole(shared)
        clock.advance(duration_ms=1)
        one.record_crash(
            key=(f's{number}', '1'), part_ids=(*shared, f'request-{number}')
        )
    reads, admits, wholes, crashes, reports = [], [], [], [], []
    for number in range(ROUNDS):
        clock.advance(duration_ms=GAP_MS)
        part_ids = _timed(reads, lambda: _read(shared))
        part_ids += (f'request-new-{number}',)
        _timed(admits, lambda ids=part_ids: one.admit(ids))
        _timed(wholes, lambda ids=part_ids: one.record_whole(ids))
        one.report(complete=False)
        clock.advance(duration_ms=1)
        _timed(
            crashes,
            lambda ids=part_ids, key=(f'n{number}', '1'): one.record_crash(
                key=key, part_ids=ids
            ),
        )
        report = one.report(complete=False)
        _timed(reports, lambda told=report: peer.apply_report(told))
    columns = map(_median_us, (reads, admits, wholes, crashes, reports))
    return f'{count:5}  ' + '  '.join(columns)


def _memory_row() -> str:
    clock = clocks.ManualClock(start_ms=1_000_000)
    one = state.PartQuarantine(clock=clock)
    before = memory.read_resident_bytes()
    number = entries = 0
    peak = before
    for crash in range(CRASHES):
        clock.advance(duration_ms=GAP_MS)
        for _ in range(REQUESTS_OF_CRASH):
            parts = []
            size = 0
            while size < HEAD_BYTES:
                parts.append(f'{number:x}')
                size += len(parts[-1]) + len(':40,')
                number += 1
            entries += len(parts)
            one.record_crash(
                key=(f's{crash}', '1'),
                part_ids=(*_read([*parts, SECRET_PART]), f'request-{number}'),
            )
        one.judge()
        one.report(complete=False)
        peak = max(peak, memory.read_resident_bytes())
    return (
        f'{CRASHES} crashes of {REQUESTS_OF_CRASH} requests, {entries} parts:'
        f' {(peak - before) / memory.MEGABYTE:.1f} MB; the part that all'
        f' share is quarantined: {one.is_quarantined((SECRET_PART,))}'
    )


if __name__ == '__main__':
    main()
