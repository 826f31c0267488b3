"""Connections of a replica to the other control hosts."""

import logging

from shallothinge.consensus import model
from shallothinge.control import discovery
from shallothinge.settings import model as settings_model

LOG = logging.getLogger(__name__)

# Well above the time that a restarted host takes to send again.
SILENT_LINK_TIMEOUT_MS = 10_000


class ReplicaLinks:
    """Holds one connection to each other control host.

    Each host sends only on the connections that it opened, so nothing is
    received here. Messages that can not be sent are lost; the protocol
    sends them again.

    Without discovery, the settings list the hosts. With discovery, the ids
    of control hosts are their addresses, and a connection is opened when a
    message is sent to a host. It is closed once the host is silent and
    neither a seed nor a member.
    """

    def __init__(self, *, process, settings: settings_model.ControlSettings):
        self._process = process
        self._connects_on_demand = settings.discovery is not None
        self._links = {}
        self._seed_ids: set[str] = set()
        self.update_seeds(settings)

    def update_seeds(self, settings: settings_model.ControlSettings) -> None:
        """Connect to the control hosts that the new settings name."""
        hosts = discovery.hosts_of(settings)
        self._seed_ids = {host.process_id for host in hosts}
        for host in hosts:
            is_own = host.process_id == self._process.process_id
            if not is_own and host.process_id not in self._links:
                self._connect(host.process_id, host.address)

    def _connect(self, process_id: str, address: str):
        link = self._process.connect(
            address=address, role='control', on_message=_drop
        )
        self._links[process_id] = link
        return link

    def _find_or_connect(self, process_id: str):
        link = self._links.get(process_id)
        if link is None and self._connects_on_demand:
            address = discovery.address_of(process_id)
            return self._connect(process_id, address)
        return link

    def close_unused(self, member_ids: tuple[str, ...]) -> None:
        """Close connections to silent hosts that are neither seed nor member.

        :param member_ids: hosts to stay connected to besides the seeds.
        """
        if not self._connects_on_demand:
            return
        for process_id in set(self._links) - self._seed_ids - set(member_ids):
            silent_ms = self._links[process_id].silent_ms
            if silent_ms > SILENT_LINK_TIMEOUT_MS:
                self._links.pop(process_id).close()
                LOG.info(
                    'closed the connection to a silent former control host',
                    extra={'control_id': process_id, 'silent_ms': silent_ms},
                )

    def ensure_link(self, process_id: str) -> None:
        """Connect to a host that was heard, so that broadcasts reach it.

        The seeds of a host that lost its disk may all be gone, while hosts
        that still send to its former replica are reachable.
        """
        self._find_or_connect(process_id)

    def send_to(self, process_id: str, message: object) -> None:
        """Send to a control host; does nothing if its address is unknown."""
        link = self._find_or_connect(process_id)
        if link is not None:
            link.send(message)

    def send(self, message: object) -> None:
        """Send to the process of the replica in ``target_id``."""
        self.send_to(model.process_id_of(message.target_id), message)

    def broadcast(self, message: object) -> None:
        """Send to every connected control host."""
        for link in self._links.values():
            link.send(message)

    def close(self) -> None:
        """Close all connections."""
        for link in self._links.values():
            link.close()


def _drop(message: object) -> None:
    """Ignore a message; none is expected on these connections."""
