"""Whether what callers, backend servers and the operator saw is allowed."""

import collections
from collections.abc import Iterable

import attrs

from testing.soak import connections
from testing.soak import wire

# Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
# From a deadline to the final answer that is due at it.
ANSWER_SLACK_MS = 1000
# The soak's own process sends a request and reads an answer within this.
NEAR_MS = 100
# From the acknowledgement that took a key away to the last run under it.
REVOCATION_MS = 5000
# From the acknowledgement that a backend server leaves to the last request
# that may reach it.
DRAIN_MS = 2000
# Of what is asked for once all faults are over.
LEAST_SERVED = 0.9


@attrs.frozen(kw_only=True)
class Asked:
    """A request and what its caller got.

    ``status`` is None if the answer was cut or never came, which promises
    nothing; whether that is allowed is for ``ends``. ``whole_ms`` is when the
    last byte was sent, None if it never was. ``was_disturbed`` tells that the
    gateway asked was killed, frozen or stopped meanwhile.
    """

    request_id: str
    gateway: str
    target: str
    is_repeatable: bool
    api_key: str
    sent_ms: int
    deadline_ms: int
    took_ms: int
    status: int | None
    is_signed: bool = False
    body: bytes = attrs.field(default=b'', repr=False)
    was_disturbed: bool = False
    is_after_faults: bool = False
    ending: connections.Ending = connections.Ending.ANSWERED
    whole_ms: int | None = None
    is_reused: bool = False

    @property
    def ended_ms(self) -> int:
        """Return when the caller had the answer or gave up."""
        return self.sent_ms + self.took_ms


@attrs.frozen(kw_only=True)
class Run:
    """A request that a backend server began to work on."""

    server_id: str
    request_id: str
    target: str
    workspace: str
    at_ms: int


@attrs.frozen(kw_only=True)
class Late:
    """A request that reached a server too long after it had left."""

    server_id: str
    request_id: str
    after_ms: int


def check(
    *,
    asked: list[Asked],
    runs: list[Run],
    revoked: dict[str, int],
    late: list[Late],
    hold_ups: Iterable[tuple[int, int]] = (),
) -> list[str]:
    """Return what is not allowed, in words.

    :param revoked: when the loss of each key was acknowledged, in Unix
        milliseconds.
    :param hold_ups: from when until when the callers themselves were held
        up, in Unix milliseconds.
    """
    by_id = {one.request_id: one for one in asked}
    counts = collections.Counter(run.request_id for run in runs)
    found = []
    for one in asked:
        found += _check_answer(one, hold_ups)
        found += _check_runs(one, counts[one.request_id])
    for run in runs:
        found += _check_run(run, by_id.get(run.request_id), revoked)
    for one in late:
        found.append(
            f'{one.request_id}: reached {one.server_id} {one.after_ms} ms '
            'after its leaving was acknowledged'
        )
    return found + _check_recovery(asked)


def _check_answer(one: Asked, hold_ups) -> list[str]:
    found = []
    if one.status == 200:
        expected = wire.body_of(one.target)
        if one.target.startswith(f'/{wire.STREAMS}/'):
            expected = wire.whole_stream(one.target)
        if not one.is_signed:
            found.append(f'{one.request_id}: success without its signature')
        if one.body != expected:
            found.append(f'{one.request_id}: a wrong or cut body looks whole')
    is_late = (
        one.took_ms - own_ms(one, hold_ups) > one.deadline_ms + ANSWER_SLACK_MS
    )
    if is_late and not one.was_disturbed:
        found.append(f'{one.request_id}: no end after {one.took_ms} ms')
    return found


def own_ms(one: Asked, hold_ups) -> int:
    """Return for how long the caller was held up as it sent and read."""
    return sum(
        max(0, min(until_ms, one.ended_ms) - max(from_ms, one.sent_ms))
        for from_ms, until_ms in hold_ups
        if from_ms <= one.sent_ms + NEAR_MS
        or until_ms >= one.ended_ms - NEAR_MS
    )


def _check_runs(one: Asked, count: int) -> list[str]:
    found = []
    if count > 1 and not one.is_repeatable:
        found.append(f'{one.request_id}: ran {count} times')
    if count and one.status in PROMISES:
        found.append(f'{one.request_id}: ran, but was refused as not run')
    return found


def _check_run(run: Run, one: Asked | None, revoked) -> list[str]:
    if one is None or one.target != run.target:
        return [f'{run.request_id}: nobody asked for {run.target}']
    taken_ms = revoked.get(one.api_key)
    if taken_ms is not None and one.sent_ms > taken_ms + REVOCATION_MS:
        return [f'{run.request_id}: ran under a key that was taken away']
    return []


def _check_recovery(asked: list[Asked]) -> list[str]:
    last = [one for one in asked if one.is_after_faults]
    served = sum(one.status == 200 for one in last)
    if served < LEAST_SERVED * len(last):
        return [f'after the faults {served} of {len(last)} were served']
    return []
