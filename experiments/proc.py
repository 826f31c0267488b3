"""Processor time, memory and traffic of a running process."""

import os
import re
import urllib.request

import attrs

from testing import deployment

CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
UTIME_FIELD = 11
STIME_FIELD = 12


@attrs.frozen(kw_only=True)
class Usage:
    """What a process has used so far; memory is what it holds now."""

    cpu_s: float
    memory_bytes: int
    control_bytes: int
    control_messages: int


def read_usage(part: deployment.Part) -> Usage:
    """Return the usage of a process that serves metrics."""
    with open(f'/proc/{part.pid}/stat', encoding='ascii') as handle:
        fields = handle.read().rpartition(')')[2].split()
    with open(f'/proc/{part.pid}/statm', encoding='ascii') as handle:
        resident_pages = int(handle.read().split()[1])
    ticks = int(fields[UTIME_FIELD]) + int(fields[STIME_FIELD])
    with urllib.request.urlopen(part.metrics_url, timeout=5) as response:
        text = response.read().decode()
    return Usage(
        cpu_s=ticks / CLOCK_TICKS_PER_S,
        memory_bytes=resident_pages * PAGE_BYTES,
        control_bytes=_sum(text, 'control_(sent|received)_bytes'),
        control_messages=_sum(text, 'control_(sent|received)_messages'),
    )


def _sum(text: str, name: str) -> int:
    pattern = rf'^\w*connections_{name}\S* (\S+)$'
    return sum(
        int(float(match[2]))
        for match in re.finditer(pattern, text, re.MULTILINE)
    )
