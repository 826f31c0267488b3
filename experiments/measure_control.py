"""Measures what holders, changes and records cost a control host.

Prints JSON: processor time and bytes by number of holders, workspaces and
records, without sockets, encryption and disk. Run
``python -m experiments.measure_control``.
"""

import json
import sys
import time

import attrs

from shallothinge import clock as clocks
from shallothinge import protocol
from shallothinge.bundles import model as bundles
from shallothinge.calls import messages as calls
from shallothinge.control import commands
from shallothinge.control import leadership
from shallothinge.control import state
from shallothinge.leases import messages as leases
from shallothinge.membership.model import BackendServer
from shallothinge.settings import model as settings

HOLDER_COUNTS = (140, 1100, 10_900)
WORKSPACE_COUNTS = (10, 80, 510)
RECORD_COUNTS = (1000, 10_000, 100_000)
ROUNDS = 5
US_PER_S = 1_000_000


@attrs.frozen(kw_only=True)
class Cost:
    """One measured point; times are processor time of one thread."""

    what: str
    count: int
    microseconds_each: float = 0.0
    bytes_each: int = 0


def build_bundle(*, workspaces: int) -> bundles.Bundle:
    """Return a bundle with six models and many workspaces."""
    models = tuple(
        bundles.ModelSpec(name=f'model-{number}', version='1')
        for number in range(6)
    )
    return bundles.Bundle(
        version=1,
        replaces_version=0,
        zones=('a', 'b', 'c'),
        models=models,
        services=(),
        workspaces=tuple(
            bundles.WorkspaceSpec(
                name=f'workspace-{number}',
                key_hashes=(f'{number:064x}',),
                models=('model-1@1', 'model-2@1'),
                allowance_tokens_per_month=1_000_000_000,
            )
            for number in range(workspaces)
        ),
    )


def build_request(number: int, **fields) -> leases.LeaseRequest:
    """Return a renewal; one of twelve holders is an entry."""
    holder_id = f'holder-{number}'
    server = None
    if number % 12:
        server = BackendServer(
            server_id=holder_id,
            incarnation='0123456789abcdef',
            address='tcp://10.0.0.1:7000',
            zone='a',
            host=f'host-{number}',
            models=('model-1@1',),
            memory_tokens=1_000_000,
        )
    return leases.LeaseRequest(
        holder_id=holder_id,
        incarnation='0123456789abcdef',
        role='entry' if server is None else 'agent',
        sequence=1000,
        config_version=0,
        members_version=0 if server is None else -1,
        server=server,
        **fields,
    )


def start_leader(machine: state.ControlState) -> leadership.Leadership:
    """Return a leadership that has settled."""
    clock = clocks.ManualClock(start_ms=100_000)
    return leadership.Leadership(
        clock=clock,
        machine=machine,
        settings=settings.LeaseSettings(),
        epoch='epoch',
        elected_ms=0,
    )


def measure_renewals(*, holders: int) -> Cost:
    """Measure decoding, answering and encoding one renewal."""
    codec = protocol.build_codec()
    machine = state.ControlState()
    for number in range(holders):
        machine.data.fences.advance(
            server_id=f'holder-{number}',
            incarnation='0123456789abcdef',
            index=1,
        )
    leader = start_leader(machine)
    wire = [
        codec.encode(
            build_request(
                number,
                fence=1 if number % 12 else 0,
            )
        )
        for number in range(holders)
    ]
    known = {'members_version': 10**9, 'members_epoch': 'epoch'}
    sizes = 0
    spent_s = 0.0
    for _ in range(ROUNDS):
        began_s = time.process_time()
        for data in wire:
            request = codec.decode(data)
            if request.server is None:
                request = attrs.evolve(request, **known)
            grant = codec.encode(leader.answer(request))
            sizes += len(data) + len(grant)
        leader.remove_expired()
        spent_s += time.process_time() - began_s
    renewals = ROUNDS * holders
    return Cost(
        what='renewal of a lease, request and grant',
        count=holders,
        microseconds_each=round(spent_s / renewals * US_PER_S, 1),
        bytes_each=sizes // renewals,
    )


def measure_bundle(*, workspaces: int) -> Cost:
    """Measure the grant that carries a whole bundle."""
    codec = protocol.build_codec()
    machine = state.ControlState()
    machine.data.config = attrs.evolve(
        machine.data.config,
        state_version=1,
        bundle=build_bundle(workspaces=workspaces),
    )
    leader = start_leader(machine)
    request = build_request(0)
    size = len(codec.encode(leader.answer(request)))
    began_s = time.process_time()
    for _ in range(ROUNDS):
        codec.encode(leader.answer(request))
    spent_s = time.process_time() - began_s
    return Cost(
        what='grant with a whole bundle, by workspaces',
        count=workspaces,
        microseconds_each=round(spent_s / ROUNDS * US_PER_S, 1),
        bytes_each=size,
    )


def measure_claims(*, claims: int) -> tuple[Cost, ...]:
    """Measure applying claims with their answers, and a snapshot."""
    codec = commands.build_codec()
    machine = state.ControlState()
    answer = calls.StoredAnswer(
        status=200, content_type='application/json', body=b'x' * 200
    )
    log = []
    for number in range(claims):
        claim_id = f'{number:032x}'
        claim = calls.ClaimCall(
            claim_id=claim_id,
            workspace='workspace-1',
            service='job-booking',
            idempotency_key=f'key-{number}',
            body_hash=claim_id * 2,
            entry_id='entry-1',
            entry_incarnation='0123456789abcdef',
        )
        end = calls.ResolveClaim(
            claim_id=claim_id, claim_index=2 * number + 1, answer=answer
        )
        for command in (claim, end):
            log.append(
                codec.encode(
                    commands.Stamped(now_ms=1, command=codec.encode(command))
                )
            )
    began_s = time.process_time()
    for index, command in enumerate(log, start=1):
        machine.apply(index=index, command=command)
    applied_s = time.process_time() - began_s
    began_s = time.process_time()
    snapshot = machine.snapshot()
    first_s = time.process_time() - began_s
    began_s = time.process_time()
    machine.snapshot()
    again_s = time.process_time() - began_s
    return (
        Cost(
            what='call claimed and answered, applied',
            count=claims,
            microseconds_each=round(applied_s / claims * US_PER_S, 1),
            bytes_each=sum(map(len, log)) // claims,
        ),
        Cost(
            what='call in the first snapshot',
            count=claims,
            microseconds_each=round(first_s / claims * US_PER_S, 2),
            bytes_each=len(snapshot) // claims,
        ),
        Cost(
            what='call in a later snapshot, unchanged',
            count=claims,
            microseconds_each=round(again_s / claims * US_PER_S, 2),
            bytes_each=len(snapshot) // claims,
        ),
    )


def main() -> int:
    """Print all costs as JSON lines."""
    costs = [measure_renewals(holders=count) for count in HOLDER_COUNTS]
    costs += [measure_bundle(workspaces=count) for count in WORKSPACE_COUNTS]
    for count in RECORD_COUNTS:
        costs += measure_claims(claims=count)
    for cost in costs:
        print(json.dumps(attrs.asdict(cost)))
    return 0


if __name__ == '__main__':
    sys.exit(main())
