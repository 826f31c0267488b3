"""Metrics of the voters of the replicated log."""

from collections.abc import Callable

from shallothinge.consensus import quorum

READERS = {
    'control_voters': lambda view: len(view.voters),
    'control_votes_needed': lambda view: view.needed,
    'control_voters_heard': lambda view: (
        None if view.heard is None else len(view.heard)
    ),
    'control_losses_borne': lambda view: view.losses_borne,
}


def publish(
    *,
    metrics,
    read: Callable[[], quorum.QuorumView | None],
) -> None:
    """Register metrics of the voters; unknown values are left out.

    :param metrics: the metrics of the process. It has no type annotation, as
        the import would load the metrics libraries.
    :param read: returns None if no replica takes part, for example on a full
        disk; the host then reports that no leader is known, and nothing of
        the voters.
    """
    metrics.observe_view(readers=READERS, read=read)
    metrics.observe(
        name='control_leader_known', read=lambda: _is_leader_known(read())
    )


def _is_leader_known(view: quorum.QuorumView | None) -> int:
    return int(view is not None and bool(view.leader_id))
