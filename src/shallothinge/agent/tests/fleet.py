"""An agent with a stand-in backend server, a control and an entry."""

import pathlib
import tempfile

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.internet import tcp
from twisted.trial import unittest
from twisted.web import server

from shallothinge import process as processes
from shallothinge.agent import polls
from shallothinge.agent import service as services
from shallothinge.bundles import model as bundles
from shallothinge.leases import client as clients
from shallothinge.leases import messages as leases
from shallothinge.settings import model
from shallothinge.standin import model as standin_model
from shallothinge.standin import process as standin_process
from shallothinge.streams import messages
from shallothinge.transport import keys

WAIT_S = 0.005
LIMIT_S = 10
LEASE_MS = 3000
ANY_ADDRESS = 'tcp://127.0.0.1:*'
SHORT_TIMES = (
    (clients, 'RETRY_MS', 20),
    (clients, 'RENEW_MS', 200),
    (polls, 'HEALTH_MS', 50),
    (polls, 'RECONCILE_MS', 200),
    (polls, 'FIRST_RECONCILE_MS', 20),
)
ROLES = ('control', 'entry', 'agent')


class FakeControl:
    """Grants each lease request while ``granting`` is set."""

    def __init__(self, *, process: processes.Process):
        self.granting = True
        self.fence = 1
        self.config = bundles.ServingConfig(state_version=1)
        self.requests = []
        self._endpoint = process.listen(on_message=self._receive)
        self.address = self._endpoint.address

    def _receive(self, peer, request) -> None:
        self.requests.append(request)
        if not self.granting:
            return
        version = self.config.state_version
        newer = version > request.config_version
        grant = leases.LeaseGranted(
            sequence=request.sequence,
            duration_ms=LEASE_MS,
            state_version=version,
            fence=self.fence,
            config=self.config if newer else None,
        )
        self._endpoint.send(route=peer.route, message=grant)

    def close(self) -> None:
        """Stop listening."""
        self._endpoint.close()


class FleetCase(unittest.TestCase):
    """Starts what an agent needs; all in this process, over loopback."""

    timeout = LIMIT_S

    def setUp(self):
        for module, name, value in SHORT_TIMES:
            self.patch(module, name, value)
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = pathlib.Path(scratch.name)
        pairs = {role: keys.generate_key_pair(role=role) for role in ROLES}
        for role, pair in pairs.items():
            keys.write_key_pair(path=self.folder / f'{role}.key', pair=pair)
        keys.write_trust(
            path=self.folder / 'trust', pairs=tuple(pairs.values())
        )
        self.control = FakeControl(process=self.process('control'))
        self.addCleanup(self.control.close)
        self.received = []
        self.addCleanup(self._drop_connections)

    @defer.inlineCallbacks
    def _drop_connections(self):
        """Abort what the HTTP servers still have open."""
        for selectable in reactor.getReaders() + reactor.getWriters():
            if isinstance(selectable, tcp.Connection):
                selectable.abortConnection()
        yield task.deferLater(reactor, WAIT_S, lambda: None)

    def process(self, role: str, *, name: str = '') -> processes.Process:
        """Return a new process of a role."""
        process = processes.Process(
            reactor=reactor, settings=self.own(role, name), folder=self.folder
        )
        self.addCleanup(process.close)
        return process

    def own(self, role: str, name: str = '') -> model.ProcessSettings:
        """Return the process table of a role's settings."""
        return model.ProcessSettings(
            process_id=name or f'{role}-1',
            zone='zone-a',
            host='host-1',
            address=ANY_ADDRESS,
            key_file=f'{role}.key',
            trust_file='trust',
        )

    @defer.inlineCallbacks
    def start_standin(self, settings):
        """Serve a stand-in; fires with its HTTP resource and address."""
        resource = standin_process.make_resource(
            settings=settings, reactor=reactor
        )
        site = server.Site(resource)
        port = reactor.listenTCP(0, site, interface='127.0.0.1')
        self.addCleanup(port.stopListening)
        self.addCleanup(self._stop_steps, resource)
        yield defer.succeed(None)
        return resource, f'http://127.0.0.1:{port.getHost().port}'

    def _stop_steps(self, resource):
        timer = getattr(resource, '_timer', None)
        if timer is not None and timer.active():
            timer.cancel()

    def start_agent(self, *, url: str, **backend) -> services.AgentService:
        """Start an agent beside a backend server."""
        fields = {
            'kind': 'model',
            'models': ('small@1',),
            'memory_tokens': 120_000,
            'cold_limit_tokens': 120_000,
        }
        fields.update(backend)
        settings = model.AgentSettings(
            process=self.own('agent'),
            backend=model.EngineSettings(url=url, **fields),
            control_hosts=(
                model.ControlHost(
                    process_id='control-1', address=self.control.address
                ),
            ),
        )
        agent = services.AgentService(
            settings=settings, process=self.process('agent')
        )
        self.addCleanup(agent.close)
        agent.start()
        return agent

    def connect_entry(self, agent, *, name: str = 'entry-1', on_message=None):
        """Return an entry's link to an agent."""
        process = self.process('entry', name=name)
        link = process.connect(
            address=agent.address,
            role='agent',
            on_message=on_message or self.received.append,
        )
        self.addCleanup(link.close)
        return link

    @defer.inlineCallbacks
    def until(self, condition):
        """Wait until a condition holds."""
        while not condition():
            yield task.deferLater(reactor, WAIT_S, lambda: None)

    def end_lease(self, agent) -> None:
        """End an agent's lease for good, whatever grants are on their way.

        A grant that was sent before control stopped granting would make
        the lease valid again.
        """
        self.control.granting = False
        self.patch(agent.holder, 'apply_grant', lambda grant: False)
        agent.holder._ends_ms = 0

    def deliver(self, link, message):
        """Send a message as soon as the connection stands."""
        return self.until(lambda: link.send(message))

    def got(self, message_type) -> list:
        """Return the received messages of a class."""
        return [m for m in self.received if isinstance(m, message_type)]

    def tokens(self, request_id: str) -> list[str]:
        """Return the tokens that arrived for a request, in offset order."""
        by_offset = {}
        frames = self.got(messages.StreamFrame)
        for batch in self.got(messages.FrameBatch):
            frames.extend(batch.frames)
        for frame in frames:
            if frame.request_id == request_id:
                for place, token in enumerate(frame.tokens, frame.offset):
                    by_offset[place] = token
        return [by_offset[offset] for offset in sorted(by_offset)]


def prompt_of(tokens: int) -> str:
    """Return a prompt of a number of tokens."""
    return 'abcd' * tokens


def start_message(request_id: str, **fields) -> messages.StartStream:
    """Return a request for a short stream."""
    values = {
        'attempt': 1,
        'entry_id': 'entry-1',
        'workspace': 'jenga-fix',
        'model': 'small',
        'model_version': '1',
        'prompt': prompt_of(100),
        'prompt_tokens': 100,
        'max_tokens': 8,
    }
    values.update(fields)
    return messages.StartStream(request_id=request_id, **values)


ENGINE = standin_model.EngineFile()
SERVICE = standin_model.ServiceFile()
