"""Tests of which connections to other control hosts are closed."""

import unittest

import attrs

from shallothinge.control import replica_links
from shallothinge.settings import model

OWN_ID, SEED_ID, MEMBER_ID, OTHER_ID = (
    f'10.0.0.{number}:7000' for number in range(1, 5)
)
TIMEOUT_MS = replica_links.SILENT_LINK_TIMEOUT_MS


@attrs.define(kw_only=True)
class FakeLink:
    """A connection whose time of silence the test sets."""

    silent_ms: int = 0
    closed: bool = False

    def send(self, message) -> bool:
        """Drop a message."""
        return False

    def close(self) -> None:
        """Record that it was closed."""
        self.closed = True


class FakeProcess:
    """Records the connections that it opens, by address."""

    process_id = OWN_ID

    def __init__(self):
        self.opened = {}

    def connect(self, *, address, role, on_message):
        """Open a connection."""
        self.opened[address.removeprefix('tcp://')] = FakeLink()
        return self.opened[address.removeprefix('tcp://')]


def _settings(*seeds):
    return model.ControlSettings(
        process=None,
        log=None,
        discovery=model.DiscoverySettings(
            seeds=tuple(f'{one.rpartition(":")[0]}:80' for one in seeds),
            port=7000,
        ),
    )


class KeepTest(unittest.TestCase):
    """A seed, a member and a host that is neither."""

    def setUp(self):
        self.process = FakeProcess()
        self.links = replica_links.ReplicaLinks(
            process=self.process, settings=_settings(OWN_ID, SEED_ID)
        )
        for process_id in (MEMBER_ID, OTHER_ID):
            self.links.send_to(process_id, 'hello')

    def test_only_silent_hosts_that_are_neither_are_dropped(self):
        rows = (
            (SEED_ID, 100 * TIMEOUT_MS, False),
            (MEMBER_ID, 100 * TIMEOUT_MS, False),
            (OTHER_ID, TIMEOUT_MS, False),
            (OTHER_ID, TIMEOUT_MS + 1, True),
        )
        for process_id, silent_ms, is_closed in rows:
            with self.subTest(process_id=process_id, silent_ms=silent_ms):
                self.setUp()
                self.process.opened[process_id].silent_ms = silent_ms
                self.links.close_unused((OWN_ID, MEMBER_ID))
                closed = self.process.opened[process_id].closed
                self.assertEqual(is_closed, closed)

    def test_former_seed_is_dropped_and_new_one_connected(self):
        self.process.opened[SEED_ID].silent_ms = TIMEOUT_MS + 1
        new_id = '10.0.0.9:7000'
        self.links.update_seeds(_settings(OWN_ID, new_id))
        self.links.close_unused((OWN_ID, MEMBER_ID))
        self.assertTrue(self.process.opened[SEED_ID].closed)
        self.assertIn(new_id, self.process.opened)
        self.assertNotIn(OWN_ID, self.process.opened)

    def test_dropped_host_is_reached_again_when_it_is_sent_to(self):
        dropped = self.process.opened[OTHER_ID]
        dropped.silent_ms = TIMEOUT_MS + 1
        self.links.close_unused((OWN_ID, MEMBER_ID))
        self.links.send_to(OTHER_ID, 'hello')
        self.assertIsNot(dropped, self.process.opened[OTHER_ID])


if __name__ == '__main__':
    unittest.main()
