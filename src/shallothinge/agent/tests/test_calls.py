"""Tests of calls to plain services that may not be repeated."""

from unittest import mock

from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task

from shallothinge.agent.tests import fleet
from shallothinge.calls import messages as calls
from shallothinge.errors import ErrorKind


class Closing(protocol.Protocol):
    """Closes a connection as soon as some bytes came."""

    def dataReceived(self, data):
        """Count the request and close."""
        self.factory.requests += 1
        self.transport.loseConnection()


class ClosingFactory(protocol.Factory):
    """Counts the requests that its connections brought."""

    protocol = Closing
    requests = 0


class CallPathTest(fleet.FleetCase):
    """Calls through an agent to a stand-in plain service."""

    @defer.inlineCallbacks
    def start(self):
        """Start an agent beside a service, and an entry."""
        self.web, url = yield self.start_standin(fleet.SERVICE)
        self.agent = self.start_agent(
            url=url, kind='service', services=('booking',), memory_tokens=0
        )
        self.entry = self.connect_entry(self.agent)
        yield self.until(self.agent.holder.is_valid)

    def call(self, request_id: str, **fields) -> calls.CallService:
        """Return a claimed call."""
        values = {
            'attempt': 1,
            'entry_id': 'entry-1',
            'workspace': 'jenga-fix',
            'service': 'booking',
            'method': 'POST',
            'path': 'flats/7',
            'idempotency_key': 'k1',
            'claim_index': 5,
        }
        values.update(fields)
        return calls.CallService(request_id=request_id, **values)

    @defer.inlineCallbacks
    def test_claim_runs_once_though_it_comes_twice(self):
        yield self.start()
        yield self.deliver(self.entry, self.call('c1'))
        yield self.deliver(self.entry, self.call('c2', attempt=2))
        yield self.until(lambda: self.got(calls.CallAnswered))
        yield self.until(lambda: self.got(calls.CallFailed))
        self.assertEqual(
            ErrorKind.OUTCOME_UNKNOWN, self.got(calls.CallFailed)[0].kind
        )
        self.assertEqual({'k1': 1}, self.web._executions.by_key)

    @defer.inlineCallbacks
    def test_refused_call_is_not_run(self):
        yield self.start()
        self.end_lease(self.agent)
        yield self.deliver(self.entry, self.call('c1'))
        yield self.deliver(self.entry, self.call('c2', service='other'))
        yield self.until(lambda: len(self.got(calls.CallRefused)) == 2)
        self.assertEqual(0, self.web._executions.total)

    @defer.inlineCallbacks
    def repeat_after_break(self, answer_type):
        """Send a claim, wait for its answer, send the claim again."""
        yield self.deliver(self.entry, self.call('c1'))
        yield self.until(lambda: self.got(answer_type))
        first = self.got(answer_type)[0]
        yield self.deliver(self.entry, self.call('c2', attempt=2))
        yield self.until(lambda: len(self.received_answers()) == 2)
        return first.kind

    def received_answers(self):
        """Return the answers of any class."""
        return (
            self.got(calls.CallAnswered)
            + self.got(calls.CallRefused)
            + self.got(calls.CallFailed)
        )

    @defer.inlineCallbacks
    def test_break_before_sending_lets_the_claim_run_later(self):
        yield self.start()
        may_act = self.agent.authority.may_act
        answers = [False, False]
        with mock.patch.object(
            self.agent.authority,
            'may_act',
            lambda: answers.pop() if answers else may_act(),
        ):
            kind = yield self.repeat_after_break(calls.CallRefused)
        self.assertEqual(ErrorKind.NO_LEASE, kind)
        self.assertEqual({'k1': 1}, self.web._executions.by_key)

    @defer.inlineCallbacks
    def test_break_while_sending_is_not_repeated(self):
        yield self.start()
        factory = ClosingFactory()
        port = reactor.listenTCP(0, factory, interface='127.0.0.1')
        self.addCleanup(port.stopListening)
        url = f'http://127.0.0.1:{port.getHost().port}'
        self.agent.calls._client._url = url
        kind = yield self.repeat_after_break(calls.CallFailed)
        self.assertEqual(ErrorKind.OUTCOME_UNKNOWN, kind)
        self.assertEqual(1, factory.requests)
        self.assertEqual(2, len(self.got(calls.CallFailed)))

    @defer.inlineCallbacks
    def test_break_after_sending_is_not_repeated(self):
        yield self.start()
        self.web._drop_answers = 1
        kind = yield self.repeat_after_break(calls.CallFailed)
        self.assertEqual(ErrorKind.OUTCOME_UNKNOWN, kind)
        self.assertEqual({'k1': 1}, self.web._executions.by_key)

    @defer.inlineCallbacks
    def test_service_that_is_gone_ran_nothing(self):
        yield self.start()
        port = reactor.listenTCP(0, ClosingFactory(), interface='127.0.0.1')
        url = f'http://127.0.0.1:{port.getHost().port}'
        yield port.stopListening()
        self.agent.calls._client._url = url
        kind = yield self.repeat_after_break(calls.CallRefused)
        self.assertEqual(ErrorKind.NO_BACKEND_SERVER, kind)

    @defer.inlineCallbacks
    def test_call_that_waited_beyond_its_deadline_is_not_run(self):
        yield self.start()
        with mock.patch.object(self.agent._stall, 'waited_ms', lambda: 30_000):
            yield self.deliver(self.entry, self.call('c1'))
            yield self.until(lambda: self.got(calls.CallRefused))
        self.assertEqual(
            ErrorKind.EXPIRED_NOT_RUN, self.got(calls.CallRefused)[0].kind
        )
        self.assertEqual(0, self.web._executions.total)

    @defer.inlineCallbacks
    def test_answer_after_the_deadline_leaves_the_outcome_unknown(self):
        yield self.start()
        self.web._delay_ms = 1500
        yield self.deliver(self.entry, self.call('c1', deadline_ms=1000))
        yield self.until(lambda: self.got(calls.CallFailed))
        yield self.deliver(self.entry, self.call('c2', attempt=2))
        yield self.until(lambda: len(self.got(calls.CallFailed)) == 2)
        yield task.deferLater(reactor, 1, lambda: None)
        self.assertEqual({'k1': 1}, self.web._executions.by_key)

    @defer.inlineCallbacks
    def test_call_without_a_claim_is_refused_unless_it_may_repeat(self):
        yield self.start()
        yield self.deliver(self.entry, self.call('c1', claim_index=0))
        yield self.deliver(
            self.entry, self.call('c2', claim_index=0, method='GET')
        )
        yield self.until(lambda: len(self.received_answers()) == 2)
        refused = self.got(calls.CallRefused)[0]
        self.assertEqual(ErrorKind.KEY_REQUIRED, refused.kind)
        self.assertEqual('c2', self.got(calls.CallAnswered)[0].request_id)
