"""Chooses a stable subset of the backend servers for each entry.

In a large fleet an entry connects to only some of the backend servers of
each model and service. The subset is chosen by rendezvous hashing, so that
adding or removing one backend server changes at most one connection.
"""

from collections.abc import Iterable
import hashlib

from shallothinge.membership.model import BackendServer


def rendezvous_hash(*, entry_id: str, server_id: str) -> bytes:
    """Return the rendezvous hash of a server for an entry; highest wins."""
    return hashlib.sha256(f'{entry_id}\0{server_id}'.encode()).digest()


def choose_subset(
    *, entry_id: str, servers: Iterable[BackendServer], max_servers: int
) -> dict[str, BackendServer]:
    """Return the backend servers that an entry connects to, by id.

    :param max_servers: limit for each model and service; 0 means no limit.
    """
    ranked = sorted(
        servers,
        key=lambda each: rendezvous_hash(
            entry_id=entry_id, server_id=each.server_id
        ),
        reverse=True,
    )
    if not max_servers:
        return {each.server_id: each for each in ranked}
    chosen = {}
    counts = {}
    for server in ranked:
        names = server.models + server.services
        if any(counts.get(name, 0) < max_servers for name in names):
            chosen[server.server_id] = server
        for name in names:
            counts[name] = counts.get(name, 0) + 1
    return chosen
