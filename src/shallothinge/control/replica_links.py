"""Connections of a replica to the other control hosts."""

from shallothinge.consensus import model
from shallothinge.settings import model as settings_model


class ReplicaLinks:
    """One connection to each other control host of the settings.

    Each host sends on its own connections only, so nothing is received
    here. What can not be sent is lost; the protocol sends it again.
    """

    def __init__(self, *, process, settings: settings_model.ControlSettings):
        self._links = {}
        for host in settings.control_hosts:
            if host.process_id != process.process_id:
                self._links[host.process_id] = process.connect(
                    address=host.address, role='control', on_message=_drop
                )

    def send(self, message: object) -> None:
        """Send to the process of the replica that the message names."""
        process_id = model.process_id_of(message.target_id)
        link = self._links.get(process_id)
        if link is not None:
            link.send(message)

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
