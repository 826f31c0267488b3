"""Metrics that an agent publishes."""

from shallothinge import metrics
from shallothinge.agent import gate as gates
from shallothinge.agent import reconcile
from shallothinge.calls import messages as calls
from shallothinge.leases import holder as holders
from shallothinge.reservations import messages as reservations
from shallothinge.streams import messages as streams

REFUSALS = (
    calls.CallRefused,
    reservations.ReservationRefused,
    streams.StreamRefused,
)


def observe(
    *,
    own: metrics.Metrics,
    holder: holders.LeaseHolder,
    gate: gates.Gate,
    releases: reconcile.ReleaseQueue,
) -> None:
    """Publish the lease and what the gate has let through."""
    own.observe_lease(read_remaining_ms=lambda: holder.remaining_ms)
    own.observe(name='gate_streams', read=lambda: gate.streams)
    own.observe(name='gate_held_tokens', read=lambda: gate.held_tokens)
    own.observe(name='gate_limit_tokens', read=lambda: gate.limit_tokens)
    own.observe(name='releases_pending', read=lambda: len(releases))


def count_answer(*, own: metrics.Metrics, message: object) -> None:
    """Count a message to an entry if it refuses work."""
    if isinstance(message, REFUSALS):
        own.count_refusal(kind=message.kind)
