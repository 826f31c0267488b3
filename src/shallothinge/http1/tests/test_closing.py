"""Tests of the lingering close with peers that read slowly."""

import socket
import unittest

from twisted.internet import task

from shallothinge.http1 import closing
from shallothinge.http1.tests import fakes

WRITTEN_BYTES = 1000
# As in ``tcp_states.h`` of Linux.
TCP_CLOSE = 7
STALLED_MS = 3 * closing.LINGER_MS


class GentleCloseTest(unittest.TestCase):
    """A connection to a peer that acknowledges bytes slowly."""

    def setUp(self):
        self.reactor = task.Clock()
        self.transport = fakes.Transport()
        self.lingering_close = closing.LingeringClose(
            transport=self.transport,
            reactor=self.reactor,
            written_bytes=WRITTEN_BYTES,
            stall_timeout_ms=STALLED_MS,
        )
        self.lingering_close.start()

    def start_idle(self):
        self.transport = fakes.Transport()
        self.lingering_close = closing.LingeringClose(
            transport=self.transport,
            reactor=self.reactor,
            written_bytes=WRITTEN_BYTES,
            stall_timeout_ms=STALLED_MS,
            is_idle=True,
        )
        self.lingering_close.start()

    def linger(self, times=1):
        for _ in range(times):
            self.reactor.advance(closing.LINGER_MS / 1000)

    def test_peer_that_goes_on_reading_is_never_reset(self):
        for name, is_write_side_closed in (
            ('still here', False),
            ('has left', True),
        ):
            with self.subTest(name):
                self.setUp()
                if is_write_side_closed:
                    self.lingering_close.on_write_side_closed()
                for acked_bytes in range(0, WRITTEN_BYTES, 50):
                    self.transport.acked_bytes = acked_bytes
                    self.linger()
                    self.assertFalse(self.transport.disconnecting)

    def test_connection_ends_when_the_peer_has_all(self):
        self.lingering_close.on_write_side_closed()
        self.linger()
        self.assertFalse(self.transport.disconnecting)
        self.transport.acked_bytes = WRITTEN_BYTES
        self.linger()
        self.assertTrue(self.transport.disconnecting)
        self.assertFalse(self.transport.was_aborted)

    def test_peer_that_takes_nothing_is_reset_and_its_loss_logged(self):
        self.transport.acked_bytes = 400
        self.lingering_close.on_write_side_closed()
        self.linger(3)
        self.assertFalse(self.transport.was_aborted)
        with self.assertLogs(closing.LOG, 'WARNING') as logged:
            self.linger()
        self.assertTrue(self.transport.was_aborted)
        self.assertEqual(600, logged.records[0].lost_bytes)

    def test_close_without_tcp_info_follows_the_write_side(self):
        self.transport.acked_bytes = None
        self.linger()
        self.assertFalse(self.transport.disconnecting)
        self.lingering_close.on_write_side_closed()
        self.linger()
        self.assertTrue(self.transport.disconnecting)
        self.assertFalse(self.transport.was_aborted)

    def test_idle_connection_is_closed_at_once_and_read_no_more(self):
        # Guards against requests that are read and dropped after the close.
        for acked_bytes, is_closed in (
            (WRITTEN_BYTES, True),
            (WRITTEN_BYTES - 1, False),
            (None, True),
        ):
            with self.subTest(acked_bytes=acked_bytes):
                self.start_idle()
                self.transport.acked_bytes = acked_bytes
                self.lingering_close.on_write_side_closed()
                self.assertEqual('paused', self.transport.producerState)
                self.assertEqual(is_closed, self.transport.disconnecting)

    def test_peer_that_leaves_an_unread_connection_is_noticed(self):
        self.start_idle()
        self.lingering_close.on_write_side_closed()
        self.linger()
        self.assertFalse(self.transport.disconnecting)
        self.transport.tcp_state = TCP_CLOSE
        self.linger()
        self.assertTrue(self.transport.disconnecting)

    def test_nothing_happens_after_the_connection_has_ended(self):
        self.lingering_close.stop()
        self.assertEqual([], self.reactor.getDelayedCalls())


class AckedBytesTest(unittest.TestCase):
    """Acknowledged bytes as the kernel of this host reports them."""

    def test_bytes_that_the_peer_has_are_counted(self):
        with socket.create_server(('127.0.0.1', 0)) as listening:
            address = listening.getsockname()
            with socket.create_connection(address) as opened:
                accepted, _ = listening.accept()
                with accepted:
                    accepted.sendall(bytes(WRITTEN_BYTES))
                    received = 0
                    while received < WRITTEN_BYTES:
                        received += len(opened.recv(WRITTEN_BYTES))
                    self.assertEqual(
                        WRITTEN_BYTES, closing.acked_bytes(accepted)
                    )
