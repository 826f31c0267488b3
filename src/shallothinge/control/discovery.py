"""Control hosts that find each other from the addresses of some.

The id of such a host is ``IP:PORT`` of its zmq address, so that the log's
own list of members tells where each one is.
"""

from shallothinge.settings import model


def hosts_of(settings) -> tuple[model.ControlHost, ...]:
    """Return the control hosts that a process starts with.

    :param settings: settings with ``control_hosts`` or ``discovery``.
    """
    discovery = settings.discovery
    if discovery is None:
        return settings.control_hosts
    return tuple(
        model.ControlHost(process_id=seed_id, address=address_of(seed_id))
        for seed_id in seed_ids(discovery)
    )


def seed_ids(discovery: model.DiscoverySettings) -> tuple[str, ...]:
    """Return the ids of the seeds."""
    ids = []
    for seed in discovery.seeds:
        host = seed.rpartition(':')[0]
        ids.append(f'{host}:{discovery.port}')
    return tuple(ids)


def address_of(process_id: str) -> str:
    """Return the zmq address of a control host by its id."""
    return f'tcp://{process_id}'
