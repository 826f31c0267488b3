"""Founding of a cluster: its id and the first log entry."""

import hashlib

from shallothinge.consensus import model

FOUNDING_INDEX = 1
FOUNDING_TERM = 1
DIGEST_HEX_DIGITS = 12


def cluster_of(*, name: str, replica_ids: tuple[str, ...]) -> model.Cluster:
    """Return the cluster with a name and its initial voters.

    The cluster id includes a digest of the voters. If two operators found
    clusters under one name with different hosts, the ids differ and the
    clusters ignore each other's messages.
    """
    founders = tuple(sorted(replica_ids))
    digest = hashlib.sha256('\n'.join(founders).encode()).hexdigest()
    return model.Cluster(
        cluster_id=f'{name}:{digest[:DIGEST_HEX_DIGITS]}', founders=founders
    )


def founding_entry(*, cluster: model.Cluster) -> model.Entry:
    """Return the first log entry, which is the same on all initial voters."""
    return model.Entry(
        index=FOUNDING_INDEX,
        term=FOUNDING_TERM,
        kind=model.EntryKind.CONFIGURATION,
        configuration=model.Configuration(voters=cluster.founders),
    )


def cluster_name_of(cluster_id: str) -> str:
    """Return the name under which the operator founded the cluster."""
    return cluster_id.rpartition(':')[0]
