"""Discovery of control hosts from the addresses of a few seeds.

The process id of such a host is the ``IP:PORT`` of its zmq address, so that
the member list in the log gives the address of each member.
"""

from shallothinge.settings import model


def hosts_of(settings) -> tuple[model.ControlHost, ...]:
    """Return the control hosts that a process first connects to.

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
    """Return the process ids of the seeds.

    Each is the host of the seed's address with the zmq port.
    """
    ids = []
    for seed in discovery.seeds:
        host = seed.rpartition(':')[0]
        ids.append(f'{host}:{discovery.port}')
    return tuple(ids)


def address_of(process_id: str) -> str:
    """Return the zmq address of a control host from its process id."""
    return f'tcp://{process_id}'
