"""Tests of the control process with its sockets."""

import pathlib
import socket
import tempfile
import threading
import unittest
from unittest import mock

from twisted.internet import epollreactor

from shallothinge import process as processes
from shallothinge.control import process as control
from shallothinge.http1 import connection
from shallothinge.http1 import server
from shallothinge.settings import model
from shallothinge.transport import keys

ORDER = b'GET /configuration HTTP/1.1\r\nHost: h\r\n\r\n'
TIMEOUT_S = 10.0


class Reactor(epollreactor.EPollReactor):
    """A reactor that leaves the signals of the test runner alone."""

    def run(self, installSignalHandlers=False):
        """Run until stopped."""
        super().run(installSignalHandlers=False)


class ApiStopTest(unittest.TestCase):
    """A host that serves the HTTP API and has no replica stops."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        keys.write_deployment(folder=self.folder, roles=('control',))
        self.settings = model.ControlSettings(
            process=model.ProcessSettings(
                process_id='c1',
                zone='z',
                host='h',
                address='tcp://127.0.0.1:*',
                key_file='control.key',
                trust_file='trust.toml',
                is_host_shared=False,
            ),
            log=model.LogSettings(data_folder=''),
            control_hosts=(
                model.ControlHost(
                    process_id='c2', address='tcp://127.0.0.1:1'
                ),
            ),
            api=model.ControlApiSettings(address='127.0.0.1:0'),
        )

    def run_stop(self, first, rest):
        """Stop the process once the first bytes of an order are read.

        :returns: what the operator received.
        """
        reactor = Reactor()
        received = bytearray()
        was_read = threading.Event()
        ports = []
        listen = server.listen
        make_process = processes.Process
        read = connection.ServerConnection.dataReceived

        def listen_and_keep(**arguments):
            ports.append(listen(**arguments))
            reactor.callWhenRunning(operator.start)
            return ports[-1]

        def make_and_close(**arguments):
            made = make_process(**arguments)
            self.addCleanup(made.close)
            return made

        def data_received(connection, data):
            read(connection, data)
            was_read.set()

        def order():
            address = ('127.0.0.1', ports[0].getHost().port)
            with socket.create_connection(address, TIMEOUT_S) as opened:
                opened.sendall(first)
                was_read.wait(TIMEOUT_S)
                reactor.callFromThread(reactor.stop)
                was_stopping.wait(TIMEOUT_S)
                try:
                    opened.sendall(rest)
                    while data := opened.recv(65_536):
                        received.extend(data)
                except ConnectionError:
                    return

        was_stopping = threading.Event()
        operator = threading.Thread(target=order, daemon=True)
        reactor.addSystemEventTrigger(
            'before', 'shutdown', reactor.callLater, 0.05, was_stopping.set
        )
        with (
            mock.patch.object(server, 'listen', listen_and_keep),
            mock.patch.object(processes, 'Process', make_and_close),
            mock.patch.object(
                connection.ServerConnection, 'dataReceived', data_received
            ),
            mock.patch.object(control, 'API_STOP_LIMIT_MS', 1000 * TIMEOUT_S),
        ):
            control.run(
                settings=self.settings, folder=self.folder, reactor=reactor
            )
        was_stopping.set()
        operator.join(TIMEOUT_S)
        return bytes(received)

    def test_order_that_has_arrived_is_answered_before_the_end(self):
        for name, first, rest in (
            ('being handled', ORDER, b''),
            ('read in part', ORDER[:9], ORDER[9:]),
        ):
            with self.subTest(name):
                # There is no leader.
                received = self.run_stop(first, rest)
                self.assertEqual(b'HTTP/1.1 503 ', received[:13])
