"""Requests whose connections sound servers reset, and which are sent again.

Each server that runs such a request resets its connection once, before the
answer, and goes on working. Several servers do so within a second, as the
request is sent to several gateways and again under other ids. It is sound, so
that no gateway may take it for one that crashes servers.
"""

import random
import socket
import struct

from testing.soak import checks

# Last part of the target of such a request.
PREFIX = 'reset-'
# Resets of one moment would count as one cause outside of the requests.
DELAY_S = (0.05, 0.6)
# How often the request is sent, at what interval, and the time to the next.
TIMES, AGAIN_S, GAP_S = 4, 0.5, 2.0
ABORT = struct.pack('ii', 1, 0)


class Resets:
    """What one server has reset."""

    def __init__(self, *, name: str):
        self._rng = random.Random(f'resets {name}')
        self._targets: set[str] = set()

    def draw_delay_s(self, target: str) -> float | None:
        """Return after how long a run is reset, or None if it is not."""
        is_marked = target.rpartition('/')[2].startswith(PREFIX)
        if not is_marked or target in self._targets:
            return None
        self._targets.add(target)
        return self._rng.uniform(*DELAY_S)


def reset(writer) -> None:
    """Reset a connection."""
    raw = writer.get_extra_info('socket')
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT)
    writer.transport.abort()


def check(
    *, asked: list[checks.Asked], quarantined_ids: frozenset[str]
) -> list[str]:
    """Return the sound requests that were refused as quarantined.

    :param quarantined_ids: requests that gateways ended so, by their logs.
    """
    return [
        f'{one.request_id}: a sound request ({one.target}) was quarantined'
        for one in asked
        if one.request_id in quarantined_ids
    ]
