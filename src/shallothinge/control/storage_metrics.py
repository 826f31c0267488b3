"""Metrics of what a replica stores."""

from collections.abc import Callable
import operator

import attrs

from shallothinge.control import replica_store

READERS = {
    f'replica_{field.name}': operator.attrgetter(field.name)
    for field in attrs.fields(replica_store.StoreSizes)
}


def publish(
    *,
    metrics,
    read: Callable[[], replica_store.StoreSizes | None],
) -> None:
    """Register the sizes as metrics whose names begin with ``replica_``.

    :param metrics: as in ``quorum_metrics.publish``.
    :param read: returns None if there is no replica, for example on a full
        disk; the metrics are left out then.
    """
    metrics.observe_view(readers=READERS, read=read)
