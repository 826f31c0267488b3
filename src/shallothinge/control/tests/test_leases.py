"""Tests that no holder acts under an outdated configuration."""

import copy

import attrs
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from shallothinge import clock
from shallothinge.control import commands
from shallothinge.control import leadership
from shallothinge.control import state
from shallothinge.leases import holder as holders
from shallothinge.leases import messages as leases
from shallothinge.membership import messages as membership
from shallothinge.membership.model import BackendServer
from shallothinge.operators import messages as operators
from shallothinge.settings import model

CODEC = commands.build_codec()
SLOW_CLOCK_DIVISOR = 100
ENTRY = 'e1'
LEASE_MS = model.LeaseSettings().duration_ms
SERVER = 's1'
PROCESSES = strategies.integers(0, 3)


@attrs.define(kw_only=True, eq=False)
class Process:
    """A lease holder with its own clock, which runs one percent slow."""

    clock: clock.ManualClock
    holder: holders.LeaseHolder
    grants: list = attrs.field(factory=list)


@attrs.define(kw_only=True, eq=False)
class Leader:
    """A present or former leader, with its copy of the state.

    ``confirmed`` holds requests that arrived while it was the leader, as
    confirmed by a majority. It may freeze before it sends the grants.
    """

    machine: state.ControlState
    current: leadership.Leadership
    confirmed: list = attrs.field(factory=list)


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Holders disconnect or freeze, leaders change, messages are delayed."""

    lease_settings = model.LeaseSettings()

    def __init__(self):
        super().__init__()
        self.clock = clock.ManualClock(start_ms=10_000)
        self.index = 0
        self.elections = 0
        self.leader = None
        self.old_leaders = []
        self.in_force = 0
        self.elect(freeze=False)
        self.clock.advance(duration_ms=LEASE_MS)
        self.processes = [self._start(ENTRY)]
        self.agents = [self._start(SERVER)]
        self.incarnations = 0

    def _start(self, name, incarnation='0'):
        own_clock = clock.ManualClock()
        holder = holders.LeaseHolder(
            clock=own_clock,
            holder_id=name,
            incarnation=incarnation,
            role='agent' if name == SERVER else 'entry',
            wants_members=name != SERVER,
        )
        if name == SERVER:
            holder.server = BackendServer(
                server_id=name,
                incarnation=incarnation,
                address='',
                zone='a',
                host='h',
            )
        return Process(clock=own_clock, holder=holder)

    def _apply(self, command):
        self.index += 1
        self.leader.machine.apply(
            index=self.index,
            command=CODEC.encode(
                commands.Stamped(
                    now_ms=self.clock.now_ms(), command=CODEC.encode(command)
                )
            ),
        )

    def _all(self):
        return [*self.processes, *self.agents]

    @stateful.rule(freeze=strategies.booleans())
    def elect(self, freeze):
        """Another host is elected; the old leader may still send grants."""
        machine = state.ControlState(codec=CODEC)
        if self.leader is not None:
            machine.data = copy.deepcopy(self.leader.machine.data)
            if freeze:
                self.old_leaders.append(self.leader)
        self.elections += 1
        self.leader = Leader(
            machine=machine,
            current=leadership.Leadership(
                clock=self.clock,
                wall_clock=self.clock,
                machine=machine,
                settings=self.lease_settings,
                epoch=f'{self.elections}',
                elected_ms=self.clock.now_ms(),
            ),
        )

    @stateful.rule(
        number=PROCESSES,
        fate=strategies.sampled_from(('renewed', 'owed', 'under_way')),
    )
    def request(self, number, fate):
        """A holder's request arrives at the leader.

        The leader may send the grant later, or the grant may be delayed on
        its way to the holder.
        """
        processes = self._all()
        process = processes[number % len(processes)]
        request = process.holder.next_request()
        needed = self.leader.current.fence_needed(request)
        if needed is not None:
            self._apply(
                membership.FenceServer(
                    server_id=needed.server_id, incarnation=needed.incarnation
                )
            )
        self.leader.confirmed.append((process, request))
        if fate != 'owed':
            self._answer(self.leader)
        if fate == 'renewed':
            self._deliver_newest(process)

    def _answer(self, leader):
        process, request = leader.confirmed.pop()
        grant = leader.current.answer(request)
        if isinstance(grant, leases.LeaseGranted):
            process.grants.append(grant)

    def _deliver_newest(self, process):
        if process.grants:
            process.holder.apply_grant(process.grants.pop())

    @stateful.precondition(lambda self: self._leaders_with_due_grants())
    @stateful.rule(number=strategies.integers(0, 5))
    def answer(self, number):
        """A present or former leader sends a grant that is due."""
        leaders = self._leaders_with_due_grants()
        self._answer(leaders[number % len(leaders)])

    def _leaders_with_due_grants(self):
        leaders = (self.leader, *self.old_leaders)
        return [leader for leader in leaders if leader.confirmed]

    @stateful.precondition(lambda self: self._undelivered())
    @stateful.rule(
        number=strategies.integers(0, 5), repeated=strategies.booleans()
    )
    def deliver(self, number, repeated):
        """A grant arrives, in any order and possibly twice."""
        waiting = self._undelivered()
        process, grant = waiting[number % len(waiting)]
        process.holder.apply_grant(grant)
        if not repeated:
            process.grants.remove(grant)

    def _undelivered(self):
        return [
            (process, grant)
            for process in self._all()
            for grant in process.grants
        ]

    @stateful.rule(duration_ms=strategies.sampled_from((10, 1500, 3000)))
    def advance(self, duration_ms):
        """Time passes; holders' clocks run slow."""
        self.clock.advance(duration_ms=duration_ms)
        for process in self._all():
            slow_ms = duration_ms // SLOW_CLOCK_DIVISOR
            process.clock.advance(duration_ms=duration_ms - slow_ms)

    @stateful.rule(out=strategies.booleans())
    def change(self, out):
        """An operator takes a zone out or brings it back."""
        self._apply(
            operators.SetZone(
                order_id=f'o{self.index}', operator='amina', zone='a', out=out
            )
        )

    @stateful.rule()
    def replace_agent(self):
        """Another incarnation of the agent starts; the old one runs on."""
        if len(self.agents) < 3:
            self.incarnations += 1
            self.agents.append(
                self._start(SERVER, incarnation=f'{self.incarnations}')
            )

    @stateful.invariant()
    def nobody_acts_under_an_older_configuration(self):
        """Holds once the newer one was in force.

        An operator may ask at any time whether a version is in force.
        """
        self.leader.current.remove_expired()
        version = self.leader.machine.data.config.state_version
        if not self.leader.current.leases.waiting_for(version=version):
            self.in_force = max(self.in_force, version)
        for process in self._all():
            if process.holder.is_valid():
                version = process.holder.config.state_version
                assert version >= self.in_force

    @stateful.invariant()
    def one_incarnation_of_an_agent_acts(self):
        """A predecessor's lease ends before its successor's begins."""
        acting = [
            process for process in self.agents if process.holder.is_valid()
        ]
        assert len(acting) <= 1

    @stateful.invariant()
    def fences_grow_with_incarnations(self):
        """A successor's fencing number is larger."""
        fences = sorted(
            {
                process.holder.fence
                for process in self.agents
                if process.holder.fence
            }
        )
        granted = [
            process.holder.fence
            for process in self.agents
            if process.holder.fence
        ]
        assert len(fences) == len(granted)


LeaseMachine.TestCase.settings = settings(
    max_examples=400, stateful_step_count=30
)
LeaseStateTest = LeaseMachine.TestCase
