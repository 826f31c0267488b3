"""Connections of a replica to the other control hosts."""

import logging

from shallothinge.consensus import model
from shallothinge.control import discovery
from shallothinge.settings import model as settings_model

LOG = logging.getLogger(__name__)

# Well past the time that a restarted host takes to be heard again.
KEPT_SILENT_MS = 10_000


class ReplicaLinks:
    """One connection to each other control host of the settings.

    Each host sends on its own connections only, so nothing is received
    here. What can not be sent is lost; the protocol sends it again.

    With discovery the ids of control hosts are their addresses, and a
    connection is opened to each host that is sent to. It is closed once the
    host is silent and neither a seed nor a member.
    """

    def __init__(self, *, process, settings: settings_model.ControlSettings):
        self._process = process
        self._is_open = settings.discovery is not None
        self._links = {}
        self._seed_ids: set[str] = set()
        self.follow_seeds(settings)

    def follow_seeds(self, settings: settings_model.ControlSettings) -> None:
        """Connect to the control hosts that the settings name by now."""
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

    def _find(self, process_id: str):
        link = self._links.get(process_id)
        if link is None and self._is_open:
            address = discovery.address_of(process_id)
            return self._connect(process_id, address)
        return link

    def keep(self, member_ids: tuple[str, ...]) -> None:
        """Close connections to silent hosts that are nobody's any more."""
        if not self._is_open:
            return
        for process_id in set(self._links) - self._seed_ids - set(member_ids):
            silent_ms = self._links[process_id].silent_ms
            if silent_ms > KEPT_SILENT_MS:
                self._links.pop(process_id).close()
                LOG.info(
                    'closed the connection to a control host that is gone',
                    extra={'control_id': process_id, 'silent_ms': silent_ms},
                )

    def meet(self, process_id: str) -> None:
        """Count a host that was heard of among those to announce to.

        The seeds of a host that lost its disk may all be gone; hosts that
        still send to its former replica are not.
        """
        self._find(process_id)

    def send_to(self, process_id: str, message: object) -> None:
        """Send to a control host, if it can be reached."""
        link = self._find(process_id)
        if link is not None:
            link.send(message)

    def send(self, message: object) -> None:
        """Send to the process of the replica that the message names."""
        self.send_to(model.process_id_of(message.target_id), message)

    def broadcast(self, message: object) -> None:
        """Send to every other control host."""
        for link in self._links.values():
            link.send(message)

    def close(self) -> None:
        """Drop all connections."""
        for link in self._links.values():
            link.close()


def _drop(message: object) -> None:
    """Drop an answer; none is expected on these connections."""
