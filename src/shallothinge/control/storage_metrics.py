"""Metrics of what a replica stores."""

from collections.abc import Callable
import functools

import attrs

from shallothinge.control import replica_store


def publish(
    *,
    metrics,
    read: Callable[[], replica_store.StoreSizes | None],
) -> None:
    """Register the sizes as metrics whose names begin with ``replica_``.

    :param metrics: the metrics of the process. It has no type annotation, as
        the import would load the metrics libraries.
    :param read: returns None if there is no replica, for example on a full
        disk; the metrics are left out then.
    """
    for field in attrs.fields(replica_store.StoreSizes):
        metrics.observe(
            name=f'replica_{field.name}',
            read=functools.partial(_read_field, read, field.name),
        )


def _read_field(read, name: str) -> int | None:
    sizes = read()
    return None if sizes is None else getattr(sizes, name)
