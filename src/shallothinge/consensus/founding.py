"""The explicit founding of a cluster."""

import hashlib

from shallothinge.consensus import model

FOUNDING_INDEX = 1
FOUNDING_TERM = 1
DIGEST_HEX_DIGITS = 12


def cluster_of(*, name: str, replica_ids: tuple[str, ...]) -> model.Cluster:
    """Return the cluster of a name and its first voters.

    The voters are part of its id: two operators who found under one name
    with different hosts make two clusters that never hear each other.
    """
    founders = tuple(sorted(replica_ids))
    digest = hashlib.sha256('\n'.join(founders).encode()).hexdigest()
    return model.Cluster(
        cluster_id=f'{name}:{digest[:DIGEST_HEX_DIGITS]}', founders=founders
    )


def founding_entry(*, cluster: model.Cluster) -> model.Entry:
    """Return the first entry of the log, equal at each first voter."""
    return model.Entry(
        index=FOUNDING_INDEX,
        term=FOUNDING_TERM,
        kind=model.EntryKind.CONFIGURATION,
        configuration=model.Configuration(voters=cluster.founders),
    )


def name_of(cluster_id: str) -> str:
    """Return the name under which the operator founded the cluster."""
    return cluster_id.rpartition(':')[0]
