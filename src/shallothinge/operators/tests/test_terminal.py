"""Tests of orders given over real connections to a fake control host."""

import contextlib
import io
import pathlib
import tempfile

from twisted.internet import defer
from twisted.internet import reactor
from twisted.trial import unittest

from shallothinge import process as processes
from shallothinge.errors import ErrorKind
from shallothinge.leases import messages as leases
from shallothinge.operators import control_commands
from shallothinge.operators import exit_codes
from shallothinge.operators import messages
from shallothinge.operators import orders
from shallothinge.operators import terminal as terminals
from shallothinge.operators import views
from shallothinge.settings import model
from shallothinge.transport import keys

ExitCode = exit_codes.ExitCode
ORDER = messages.SetZone(
    order_id='o1', operator='achieng', zone='zone-1', out=True
)
ACCEPTED = messages.OrderAnswered(order_id='o1', state_version=7)


class FakeControl:
    """A control host that answers from a script."""

    def __init__(self, *, process):
        self.received = []
        self.ignored = 0
        self.answer_for = {}
        self._endpoint = process.listen(on_message=self._receive)
        self.address = self._endpoint.address
        self.close = self._endpoint.close

    def _receive(self, peer, message):
        self.received.append(message)
        if self.ignored > 0:
            self.ignored -= 1
            return
        build = self.answer_for.get(type(message))
        if build is not None:
            self._endpoint.send(route=peer.route, message=build(message))


class TerminalTest(unittest.TestCase):
    """An operator's terminal and one control host."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        pairs = []
        for role in ('control', 'operator'):
            pair = keys.generate_key_pair(role=role)
            keys.write_key_pair(path=self.folder / f'{role}.key', pair=pair)
            pairs.append(pair)
        keys.write_trust(path=self.folder / 'trust.toml', pairs=tuple(pairs))
        process = processes.Process(
            reactor=reactor,
            settings=model.ProcessSettings(
                process_id='control-1',
                zone='zone-1',
                host='h1',
                address='tcp://127.0.0.1:*',
                key_file='control.key',
                trust_file='trust.toml',
            ),
            folder=self.folder,
        )
        self.addCleanup(process.close)
        self.control = FakeControl(process=process)
        self.addCleanup(self.control.close)
        self.output = io.StringIO()

    def make_terminal(self, *, timeout_ms=5000):
        identity = model.OperatorIdentity(
            name='achieng',
            signing_key_file='achieng.key',
            key_file='operator.key',
            trust_file='trust.toml',
        )
        host = model.ControlHost(
            process_id='control-1', address=self.control.address
        )
        made = terminals.Terminal(
            reactor=reactor,
            settings=model.OperatorSettings(
                operator=identity, control_hosts=(host,)
            ),
            folder=self.folder,
            timeout_ms=timeout_ms,
        )
        self.addCleanup(made.close)
        return made

    def answer(self, message_type, build):
        self.control.answer_for[message_type] = build

    async def give(self, *, wait=False, timeout_ms=5000):
        made = self.make_terminal(timeout_ms=timeout_ms)
        with contextlib.redirect_stdout(self.output):
            with contextlib.redirect_stderr(self.output):
                return await orders.give(made, ORDER, wait=wait)

    @defer.inlineCallbacks
    def test_order_is_resent_under_its_id_until_answered(self):
        self.control.ignored = 2
        self.answer(messages.SetZone, lambda order: ACCEPTED)
        status = yield defer.Deferred.fromCoroutine(self.give())
        self.assertEqual(ExitCode.OK, status)
        self.assertEqual([ORDER] * 3, self.control.received)

    @defer.inlineCallbacks
    def test_host_that_does_not_lead_is_asked_again(self):
        refused = leases.ControlRefused(
            request_id='o1', kind=ErrorKind.NOT_LEADER, leader_id='control-1'
        )
        answers = iter((refused, ACCEPTED))
        self.answer(messages.SetZone, lambda order: next(answers))
        status = yield defer.Deferred.fromCoroutine(self.give())
        self.assertEqual(ExitCode.OK, status)

    @defer.inlineCallbacks
    def test_refusal_is_shown_with_its_reason(self):
        refused = messages.OrderAnswered(
            order_id='o1', kind=ErrorKind.NOT_FOUND, detail='no zone zone-1'
        )
        self.answer(messages.SetZone, lambda order: refused)
        status = yield defer.Deferred.fromCoroutine(self.give())
        self.assertEqual(ExitCode.REFUSED, status)
        self.assertIn('no zone zone-1', self.output.getvalue())

    @defer.inlineCallbacks
    def test_founding_a_cluster_reaches_the_first_control_host(self):
        self.answer(messages.FoundCluster, lambda order: ACCEPTED)
        with contextlib.redirect_stdout(self.output):
            status = yield defer.Deferred.fromCoroutine(
                control_commands.found_cluster(
                    self.make_terminal(), cluster_id='x', order_id='o1'
                )
            )
        self.assertEqual(ExitCode.OK, status)
        [order] = self.control.received
        self.assertEqual(('control-1',), order.member_ids)

    @defer.inlineCallbacks
    def test_lost_answer_names_the_order_id(self):
        status = yield defer.Deferred.fromCoroutine(self.give(timeout_ms=600))
        self.assertEqual(ExitCode.NO_ANSWER, status)
        self.assertIn('--order-id o1', self.output.getvalue())

    @defer.inlineCallbacks
    def test_wait_asks_until_in_force(self):
        in_force = iter((False, False, True))
        self.answer(messages.SetZone, lambda order: ACCEPTED)
        self.answer(
            messages.InForceRequested,
            lambda request: messages.InForceAnswered(
                request_id=request.request_id,
                in_force=next(in_force),
                waiting_for=('entry-1',),
            ),
        )
        status = yield defer.Deferred.fromCoroutine(self.give(wait=True))
        self.assertEqual(ExitCode.OK, status)
        self.assertIn('in force everywhere', self.output.getvalue())

    @defer.inlineCallbacks
    def test_wait_that_runs_out_names_the_holders(self):
        self.answer(messages.SetZone, lambda order: ACCEPTED)
        self.answer(
            messages.InForceRequested,
            lambda request: messages.InForceAnswered(
                request_id=request.request_id,
                in_force=False,
                waiting_for=('entry-1',),
            ),
        )
        status = yield defer.Deferred.fromCoroutine(
            self.give(wait=True, timeout_ms=600)
        )
        self.assertEqual(ExitCode.NOT_IN_FORCE, status)
        self.assertIn('entry-1', self.output.getvalue())

    @defer.inlineCallbacks
    def test_view_and_dump(self):
        self.answer(
            messages.QueryRequested,
            lambda request: messages.QueryAnswered(
                request_id=request.request_id, json_text=request.view
            ),
        )
        self.answer(
            messages.DumpRequested,
            lambda request: messages.DumpAnswered(
                request_id=request.request_id, json_text='{}'
            ),
        )
        made = self.make_terminal()
        view = yield defer.Deferred.fromCoroutine(
            views.read(made, view='status')
        )
        self.assertEqual('status', view)
        dump = yield made.ask_process(
            address=self.control.address,
            role='control',
            message=messages.DumpRequested(request_id='d1'),
        )
        self.assertEqual('{}', dump.json_text)
