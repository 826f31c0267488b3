"""Tests of malformed messages to a control host.

Whatever a message holds, the leader must go on granting leases, and its
replicated state must fit into a snapshot: a replica that can't apply a
command or take a snapshot ends its process, and so does each other one.
"""

import enum
import logging
import types
import typing
import unittest
from unittest import mock

import attrs
import msgpack

from shallothinge import protocol
from shallothinge import wire
from shallothinge.allowances import messages as allowances
from shallothinge.bundles.tests import samples
from shallothinge.control import commands
from shallothinge.control import state
from shallothinge.control.tests import fakes
from shallothinge.leases import messages as leases

MAX_INT = 2**64 - 1
ODD = (None, True, '', 'x', b'x', -1, -(2**63), 2**63 - 1, MAX_INT, -0.5)
ODD += (1e300, float('nan'), float('inf'), [], [[]], [1, 2], {}, {'a': 1})
CODEC = protocol.build_codec()
COMMANDS = commands.build_codec()
# The peer's id and incarnation, and the value of each text.
PEER = 'p1'


def usual(kind):
    """Return a plain value of a type, as it is on the wire."""
    origin = typing.get_origin(kind)
    options = typing.get_args(kind)
    if origin in (typing.Union, types.UnionType):
        return usual(options[0])
    if origin is tuple:
        return [usual(options[0])]
    if attrs.has(kind):
        attrs.resolve_types(kind)
        return {one.name: usual(one.type) for one in attrs.fields(kind)}
    if issubclass(kind, enum.Enum):
        return next(iter(kind)).value
    return {int: 1, str: PEER, bool: False, bytes: b'{}', float: 1.0}.get(kind)


def places(value, path=()):
    """Yield the path of each field, also of nested ones."""
    pairs = ()
    if isinstance(value, dict):
        pairs = value.items()
    elif isinstance(value, list):
        pairs = enumerate(value)
    for key, inner in pairs:
        yield (*path, key)
        yield from places(inner, (*path, key))


def replaced(value, path, odd):
    """Return a copy with one field replaced."""
    if not path:
        return odd
    copy = value.copy()
    copy[path[0]] = replaced(copy[path[0]], path[1:], odd)
    return copy


class MalformedMessagesTest(unittest.TestCase):
    """A leader that encodes its answers as an endpoint does."""

    def setUp(self):
        logging.disable(logging.ERROR)
        self.addCleanup(logging.disable, logging.NOTSET)
        patched = mock.patch.object(
            commands, 'build_codec', autospec=True, return_value=COMMANDS
        )
        patched.start()
        self.addCleanup(patched.stop)
        self.build()

    def build(self):
        """Start the leader anew."""
        with mock.patch.object(fakes.Bench, '_record_sent', self.encode_sent):
            self.bench = fakes.Bench()
        self.bench.log.receive = mock.Mock()
        self.bench.log.member_ids = ('c1',)
        refused = mock.Mock(side_effect=RuntimeError('no members here'))
        for name in ('found', 'add_member', 'remove_member'):
            setattr(self.bench.log, name, refused)

    def encode_sent(self, *, route, message):
        CODEC.encode(message)
        self.bench.sent.append(message)
        return True

    def ask(self, message, *, role):
        """Deliver a message; the transport logs an exception and goes on."""
        try:
            self.bench.ask(
                message, role=role, process_id=PEER, incarnation=PEER
            )
        except Exception as error:
            return error
        return None

    def check_serves(self):
        """Check that the leader takes a snapshot, and grants leases."""
        snapshot = self.bench.machine.snapshot()
        restored = state.ControlState(codec=COMMANDS)
        restored.restore(snapshot)
        self.assertEqual(self.bench.machine.data, restored.data)
        self.check_grants()

    def check_grants(self):
        """Check that the leader's tick runs and that it grants leases."""
        self.bench.server.tick()
        request = leases.LeaseRequest(
            holder_id='g9',
            incarnation='1',
            role='entry',
            sequence=1,
            config_version=0,
            members_version=0,
        )
        self.bench.ask(request, role='entry', process_id='g9')
        self.assertIsInstance(self.bench.sent[-1], leases.LeaseGranted)

    def deliver(self, message_type, fields, *, roles):
        """Deliver the bytes of a message twice, from each role."""
        packed = msgpack.packb([message_type.__name__, fields])
        try:
            message = CODEC.decode(packed)
        except wire.WireError:
            return
        for role in roles:
            self.ask(message, role=role)
            self.ask(message, role=role)

    def test_leader_serves_after_any_odd_field(self):
        taken = {
            message_type: route.roles
            for message_type, route in self.bench.server._routes.items()
        }
        for message_type in CODEC.message_types:
            roles = taken.get(message_type, ('entry',))
            fields = usual(message_type)
            odd_fields = [fields, None, [], 'x', 1]
            for path in places(fields):
                odd_fields += [replaced(fields, path, odd) for odd in ODD]
            if 'server' in fields and 'holder_id' in fields:
                odd_fields += [
                    {**one, 'server': None}
                    for one in odd_fields
                    if isinstance(one, dict)
                ]
            self.build()
            for odd in odd_fields:
                with self.subTest(message_type.__name__, fields=odd):
                    self.deliver(message_type, odd, roles=roles)
                    self.check_grants()
            with self.subTest(message_type.__name__):
                self.check_serves()

    def wait_for_leases(self, *holder_ids):
        """Let holders request leases, which wait for a confirmation."""
        self.bench.log.holds_reads = True
        for holder_id in holder_ids:
            request = leases.LeaseRequest(
                holder_id=holder_id,
                incarnation='1',
                role='entry',
                sequence=1,
                config_version=0,
            )
            self.bench.ask(request, role='entry', process_id=holder_id)
        self.bench.sent.clear()

    def test_one_lease_request_costs_no_other_holder_its_lease(self):
        # An exception for one request refused the rest of its batch.
        granter = self.bench.server._granter
        send = granter._send

        def raise_for_one(*, route, message):
            if route == b'odd':
                raise OverflowError('injected')
            return send(route=route, message=message)

        with mock.patch.object(granter, '_send', raise_for_one):
            self.wait_for_leases('g1', 'odd', 'g2', 'g3')
            self.bench.log.release_reads()
            self.bench.log.release_reads()
        answers = [type(one) for one in self.bench.sent]
        self.assertEqual(3, answers.count(leases.LeaseGranted))
        self.assertEqual(1, answers.count(leases.LeaseRefused))

    def test_refusal_that_fails_does_not_end_the_granting_of_leases(self):
        # The next batch waited for this one for good.
        fault = mock.Mock(side_effect=OverflowError('injected'))
        with mock.patch.object(self.bench.server._granter, '_refuse', fault):
            self.wait_for_leases('g1')
            self.bench.log.release_reads(error=RuntimeError('deposed'))
        fault.assert_called_once()
        self.bench.log.holds_reads = False
        self.check_serves()

    def test_usage_that_adds_up_beyond_messages_is_refused(self):
        # Two reports of 64 bits were stored, and no snapshot could be taken
        # any more: each control host ended at the next one.
        self.bench.put_in_force(samples.bundle_text())
        month = state.month_of(self.bench.clock.now_ms())
        for tokens in (MAX_INT // 2, 2**62, -1, 10**13):
            for sequence in (1, 2, 3, 4):
                record = allowances.UsageRecord(
                    workspace='w',
                    model='m',
                    day=f'{month}-01',
                    requests=1,
                    prompt_tokens=tokens,
                    cached_tokens=0,
                    generated_tokens=tokens,
                )
                report = allowances.UsageReported(
                    entry_id=PEER,
                    entry_incarnation=PEER,
                    sequence=sequence,
                    records=(record,),
                )
                with self.subTest(tokens=tokens, sequence=sequence):
                    self.ask(report, role='entry')
                    self.check_serves()
        self.assertEqual({}, self.bench.machine.data.ledger.by_day)
