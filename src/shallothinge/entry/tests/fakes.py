"""Fake control host and agent that an entry under test connects to."""

import hashlib

from shallothinge import process as processes
from shallothinge.allowances import messages as allowances
from shallothinge.bundles import model as bundles
from shallothinge.calls import messages as calls
from shallothinge.entry import process as entry_process
from shallothinge.errors import ErrorKind
from shallothinge.leases import messages as leases
from shallothinge.membership.model import BackendServer
from shallothinge.membership.model import MembershipUpdate
from shallothinge.settings import model as settings
from shallothinge.streams import messages as streams
from shallothinge.transport import keys

API_KEY = 'key-of-the-workspace'
ANY_PORT = 'tcp://127.0.0.1:*'
LEASE_MS = 3000
LOAD = streams.LoadReport(server_id='s1', limit_tokens=100_000)


def make_bundle(**changes) -> bundles.Bundle:
    """Return a bundle with one model, two services and one workspace."""
    workspace = bundles.WorkspaceSpec(
        name='repairs',
        key_hashes=(hashlib.sha256(API_KEY.encode()).hexdigest(),),
        models=('small',),
        services=('status', 'booking'),
        **changes,
    )
    return bundles.Bundle(
        version=1,
        replaces_version=0,
        models=(bundles.ModelSpec(name='small', version='1'),),
        services=(
            bundles.ServiceSpec(name='status', repeatable=True),
            bundles.ServiceSpec(name='booking', repeatable=False),
        ),
        workspaces=(workspace,),
    )


def write_keys(folder) -> None:
    """Write a key file for each role and the common trust file."""
    pairs = []
    for role in ('control', 'entry', 'agent', 'operator'):
        pair = keys.generate_key_pair(role=role)
        keys.write_key_pair(path=folder / f'{role}.key', pair=pair)
        pairs.append(pair)
    keys.write_trust(path=folder / 'trust.toml', pairs=tuple(pairs))


def process_settings(process_id: str, role: str) -> settings.ProcessSettings:
    """Return settings of a process on a free port."""
    return settings.ProcessSettings(
        process_id=process_id,
        zone='z1',
        host='h1',
        address=ANY_PORT,
        key_file=f'{role}.key',
        trust_file='trust.toml',
    )


class _FakeProcess:
    """A listening process that records what it gets."""

    def __init__(self, *, reactor, folder, process_id: str, role: str):
        self.process = processes.Process(
            reactor=reactor,
            settings=process_settings(process_id, role),
            folder=folder,
        )
        self.received = []
        self.endpoint = self.process.listen(on_message=self._receive)

    def _receive(self, peer, message) -> None:
        self.received.append(message)
        for answer in self.answers_to(message):
            self.endpoint.send(route=peer.route, message=answer)

    def answers_to(self, message) -> list:
        """Return the answers to a message."""
        raise NotImplementedError

    def of_type(self, message_type: type) -> list:
        """Return the received messages of a type."""
        return [
            each for each in self.received if isinstance(each, message_type)
        ]

    def close(self) -> None:
        """Stop."""
        self.endpoint.close()
        self.process.close()


class FakeControl(_FakeProcess):
    """Grants leases, slices and each claim once."""

    def __init__(self, *, reactor, folder, bundle: bundles.Bundle):
        super().__init__(
            reactor=reactor, folder=folder, process_id='c1', role='control'
        )
        self.members = ()
        self.config = bundles.ServingConfig(state_version=1, bundle=bundle)
        self.slice_tokens = 200_000
        self.grants_leases = True
        self.claims = {}

    def answers_to(self, message) -> list:
        """Answer as a control leader would."""
        if isinstance(message, leases.LeaseRequest):
            return [self._lease(message)] if self.grants_leases else []
        if isinstance(message, allowances.SliceRequested):
            return [
                allowances.SliceGranted(
                    request_id=message.request_id,
                    workspace=message.workspace,
                    tokens=min(self.slice_tokens, message.tokens),
                )
            ]
        if isinstance(message, allowances.UsageReported):
            return [allowances.UsageStored(sequence=message.sequence)]
        if isinstance(message, calls.ClaimCall):
            return [self._claim(message)]
        if isinstance(message, calls.ResolveClaim):
            return [calls.ClaimResolved(claim_id=message.claim_id)]
        return []

    def _lease(self, request) -> leases.LeaseGranted:
        return leases.LeaseGranted(
            sequence=request.sequence,
            duration_ms=LEASE_MS,
            state_version=self.config.state_version,
            config=self.config,
            members_epoch='c1',
            members=MembershipUpdate(
                version=1, complete=True, joined=tuple(self.members)
            ),
        )

    def _claim(self, claim):
        key = claim.idempotency_key
        owner = self.claims.setdefault(key, claim.claim_id)
        if owner == claim.claim_id:
            return calls.ClaimGranted(claim_id=claim.claim_id, claim_index=7)
        for resolved in self.of_type(calls.ResolveClaim):
            if resolved.claim_id == owner and resolved.answer:
                return calls.ClaimReplayed(
                    claim_id=claim.claim_id, answer=resolved.answer
                )
        return calls.ClaimRefused(
            claim_id=claim.claim_id, kind=ErrorKind.CALL_IN_PROGRESS
        )


class FakeAgent(_FakeProcess):
    """Answers each stream with numbered tokens and each call with 200.

    :param script: maps a message to its answers in place of the usual.
    """

    def __init__(self, *, reactor, folder, server_id: str, script=None):
        super().__init__(
            reactor=reactor, folder=folder, process_id=server_id, role='agent'
        )
        self.server_id = server_id
        self.script = script

    def announced(self, **changes) -> BackendServer:
        """Return what the agent announces."""
        fields = {
            'server_id': self.server_id,
            'incarnation': self.process.incarnation,
            'address': self.endpoint.address,
            'zone': 'z1',
            'host': 'h1',
            'models': ('small@1',),
            'services': ('status', 'booking'),
            'memory_tokens': 100_000,
        }
        fields.update(changes)
        return BackendServer(**fields)

    def answers_to(self, message) -> list:
        """Answer by the script, or as a healthy agent would."""
        if self.script is not None:
            answers = self.script(message)
            if answers is not None:
                return answers
        if isinstance(message, streams.StartStream):
            return whole_stream(message)
        if isinstance(message, calls.CallService):
            return [
                calls.CallAnswered(
                    request_id=message.request_id,
                    attempt=message.attempt,
                    status=200,
                    content_type='text/plain',
                    body=b'ran ' + message.path.encode(),
                )
            ]
        return []


def accepted(start: streams.StartStream) -> streams.StreamAccepted:
    """Return the gate's acceptance."""
    return streams.StreamAccepted(
        request_id=start.request_id, attempt=start.attempt, load=LOAD
    )


def frames(start: streams.StartStream, *, first: int, last: int) -> list:
    """Return a frame for each token from the first to before the last."""
    return [
        streams.StreamFrame(
            request_id=start.request_id,
            attempt=start.attempt,
            offset=offset,
            tokens=(f't{offset} ',),
        )
        for offset in range(first, last)
    ]


def finished(start: streams.StartStream) -> streams.StreamFinished:
    """Return the end of a stream."""
    return streams.StreamFinished(
        request_id=start.request_id,
        attempt=start.attempt,
        offset=start.max_tokens,
        finish_reason='length',
        prompt_tokens=start.prompt_tokens,
        cached_tokens=0,
        generated_tokens=start.max_tokens - len(start.delivered),
        load=LOAD,
    )


def whole_stream(start: streams.StartStream) -> list:
    """Return all messages of a stream that nothing disturbs."""
    first = len(start.delivered)
    return [
        accepted(start),
        *frames(start, first=first, last=start.max_tokens),
        finished(start),
    ]


def make_entry(*, reactor, folder, control, **http) -> entry_process:
    """Return an entry that asks the fake control host."""
    return entry_process.EntryProcess(
        settings=settings.EntrySettings(
            process=process_settings('e1', 'entry'),
            http=settings.HttpSettings(address='127.0.0.1:0', **http),
            control_hosts=(
                settings.ControlHost(
                    process_id='c1', address=control.endpoint.address
                ),
            ),
            admission=settings.AdmissionSettings(stop_wait_ms=50),
        ),
        folder=folder,
        reactor=reactor,
    )
