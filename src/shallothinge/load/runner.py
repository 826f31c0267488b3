"""Runs a schedule against a target, open loop."""

import time

from twisted.internet import defer
from twisted.internet import task

from shallothinge.load import caller
from shallothinge.load import profile
from shallothinge.load import result
from shallothinge.load import schedule

MAX_IN_FLIGHT = 3000


@defer.inlineCallbacks
def run(
    *,
    reactor,
    target: caller.Target,
    callers: profile.Profile,
    rate_per_s: float,
    duration_ms: int,
    seed: int,
):
    """Send the whole schedule and wait for every answer.

    Requests are sent at their instants, whether or not earlier ones have
    been answered; above ``MAX_IN_FLIGHT`` the run waits, and the collector
    shows it by the late instants.

    :returns: fires with the ``Collector``.
    """
    sender = caller.Caller(
        reactor=reactor,
        target=target,
        prefix_tokens=callers.shared_prefix_tokens,
    )
    collector = result.Collector()
    places = defer.DeferredSemaphore(MAX_IN_FLIGHT)
    pending = []
    started_s = time.monotonic()
    for planned in schedule.plan(
        callers=callers,
        rate_per_s=rate_per_s,
        duration_ms=duration_ms,
        seed=seed,
    ):
        wait_s = started_s + planned.at_ms / 1000 - time.monotonic()
        yield task.deferLater(reactor, max(0, wait_s))
        sent = places.run(sender.send, planned)
        sent.addCallback(collector.add)
        pending.append(sent)
    yield defer.gatherResults(pending)
    return collector
