"""Handles peers' requests: proposes commands, reads state or refuses.

The leader answers requests; other hosts refuse them and name the leader. A
resent request gets its first answer again, so a client may safely resend a
request whose answer was lost.
"""

from collections.abc import Callable
import logging

import attrs
from twisted.internet import defer

from shallothinge import clock as clocks
from shallothinge.allowances import messages as allowances
from shallothinge.calls import messages as calls
from shallothinge.control import announcements
from shallothinge.control import api
from shallothinge.control import commands
from shallothinge.control import departing
from shallothinge.control import granting
from shallothinge.control import leadership
from shallothinge.control import maintenance
from shallothinge.control import order_execution
from shallothinge.control import state
from shallothinge.control import views
from shallothinge.errors import ErrorKind
from shallothinge.jobs import messages as jobs
from shallothinge.leases import client
from shallothinge.leases import messages as leases
from shallothinge.membership import messages as membership
from shallothinge.operators import messages as operators
from shallothinge.routes import messages as route_messages
from shallothinge.settings import model
from shallothinge.transport import endpoint

LOG = logging.getLogger(__name__)

# More than all requests of a report can use. Sums of greater numbers would
# soon exceed 64 bits: no snapshot could be taken, and the host would end.
MAX_REPORTED_TOKENS = 10**12

Handler = Callable[[endpoint.Peer, object], None]
ORDERS = (
    operators.SubmitBundle,
    operators.SignOffBundle,
    operators.RollBundle,
    operators.SetZone,
    operators.SetServer,
    calls.ResolveUnknownCall,
)


@attrs.frozen(kw_only=True)
class Route:
    """Which peer roles may send a message, and its handler."""

    roles: tuple[str, ...]
    handle: Handler
    needs_leader: bool = True


class ControlServer:
    """Handles the messages that a control host receives.

    :param send: sends a message to a peer's route.
    :param process_id: this host's id.
    :param incarnation: unique to this start of the process.
    """

    def __init__(
        self,
        *,
        log: api.ReplicatedLog,
        machine: state.ControlState,
        settings: model.ControlSettings,
        clock: clocks.Clock,
        wall_clock: clocks.Clock,
        send: Callable[..., bool],
        incarnation: str,
    ):
        self._log = log
        self._machine = machine
        self._settings = settings
        self._clock = clock
        self._wall_clock = wall_clock
        self._send = send
        self._incarnation = incarnation
        self._codec = commands.build_codec()
        self._leadership: leadership.Leadership | None = None
        self._departing = departing.DepartureTracker(
            machine=machine,
            clock=clock,
            propose=self.propose,
            read_unconfirmed_holders=(
                lambda version: self._current().leases.waiting_for(
                    version=version
                )
            ),
        )
        self._granter = granting.LeaseGranter(
            log=log,
            machine=machine,
            clock=clock,
            current=self._current,
            propose=self.propose,
            refuse=self._refuse,
            send=send,
            on_granted=self._departing.resolve_pending,
        )
        self._announcements = announcements.Announcements(
            log=log,
            wall_clock=wall_clock,
            current=self._current,
            departing=self._departing,
            send=send,
            reply_with=self._reply_with,
            nudge_holders=self._granter.nudge_holders,
        )
        self._orders = order_execution.OrderExecutor(
            log=log,
            machine=machine,
            operators=settings.operators,
            current=self._current,
            propose=self.propose,
            send=send,
            reply_with=self._reply_with,
        )
        self._maintenance = maintenance.Maintenance(
            machine=machine,
            clock=clock,
            wall_clock=wall_clock,
            propose=self.propose,
            retention_days=settings.leases.idempotency_retention_days,
        )
        self._routes = self._build_routes()

    def _build_routes(self) -> dict[type, Route]:
        operator = ('operator',)
        routes = {
            leases.LeaseRequest: Route(
                roles=('entry', 'agent'), handle=self._granter.request
            ),
            operators.InForceRequested: Route(
                roles=operator, handle=self._answer_in_force
            ),
            operators.QueryRequested: Route(
                roles=operator, handle=self._answer_query
            ),
            operators.DumpRequested: Route(
                roles=operator, handle=self._answer_dump, needs_leader=False
            ),
            operators.FoundCluster: Route(
                roles=operator, handle=self._orders.found, needs_leader=False
            ),
            operators.ChangeMembers: Route(
                roles=operator, handle=self._orders.change_members
            ),
        }
        entry = ('entry',)
        routes[calls.ClaimCall] = Route(
            roles=entry, handle=self._propose_under_lease
        )
        routes[calls.ResolveClaim] = Route(
            roles=entry, handle=self._propose_and_reply
        )
        routes[allowances.SliceRequested] = Route(
            roles=entry, handle=self._propose_under_lease
        )
        routes[allowances.UsageReported] = Route(
            roles=entry, handle=self._report_usage
        )
        routes[jobs.SubmitJob] = Route(
            roles=entry, handle=self._propose_and_reply
        )
        routes[jobs.ClaimJob] = Route(roles=entry, handle=self._claim_job)
        routes[jobs.FinishJob] = Route(
            roles=entry, handle=self._propose_and_reply
        )
        routes[jobs.FetchJob] = Route(roles=entry, handle=self._fetch_job)
        for order_type in ORDERS:
            routes[order_type] = Route(
                roles=operator, handle=self._orders.execute
            )
        routes.update(self._build_fleet_routes())
        return routes

    def _build_fleet_routes(self) -> dict[type, Route]:
        """Return the routes of requests forwarded from the HTTP API."""
        roles = ('control', 'operator')
        return {
            route_messages.StoreRoutes: Route(
                roles=roles, handle=self._propose_and_reply
            ),
            route_messages.FetchRoutes: Route(
                roles=roles, handle=self._fetch_routes
            ),
            operators.SetZone: Route(roles=roles, handle=self._orders.execute),
            operators.RevisionRequested: Route(
                roles=roles, handle=self._orders.answer_revision
            ),
            membership.Heartbeat: Route(
                roles=roles, handle=self._announcements.handle_heartbeat
            ),
            membership.ServerGone: Route(
                roles=roles, handle=self._announcements.handle_server_gone
            ),
        }

    def receive(self, peer: endpoint.Peer, message: object) -> None:
        """Dispatch a message from a peer, or refuse it."""
        route = self._routes.get(type(message))
        is_replica_message = route is None or 'control' not in route.roles
        if peer.role == 'control' and is_replica_message:
            self._log.receive(peer, message)
            return
        if route is None or peer.role not in route.roles:
            LOG.warning(
                'refused a message that is not allowed for the peer role',
                extra={
                    'peer': peer.process_id,
                    'message_type': type(message).__name__,
                },
            )
            self._refuse(peer, message, ErrorKind.FORBIDDEN)
        elif route.needs_leader and not self._log.is_leader:
            self._refuse(peer, message, ErrorKind.NOT_LEADER)
        else:
            route.handle(peer, message)

    def tick(self) -> None:
        """Run the leader's periodic work.

        A host that does not lead fails the departures that wait for
        confirmation.
        """
        if self._log.is_leader:
            self._current().remove_expired()
            self._granter.remove_expired_routes()
            self._granter.nudge_holders()
            self._maintenance.sweep(current=self._current())
            self._departing.resolve_pending()
        else:
            self._departing.fail_pending()

    def propose(self, command: object) -> defer.Deferred:
        """Propose a command; fire with its decoded answer once committed."""
        stamped = commands.Stamped(
            now_ms=self._wall_clock.now_ms(),
            command=self._codec.encode(command),
        )
        proposed = self._log.propose(self._codec.encode(stamped))
        return proposed.addCallback(self._committed)

    def _committed(self, answer: bytes) -> object:
        self._granter.nudge_holders()
        return self._codec.decode(answer)

    def _current(self) -> leadership.Leadership:
        """Return the soft state of the current leadership."""
        elected_ms = self._log.elected_ms
        epoch = f'{self._incarnation}-{elected_ms}'
        if self._leadership is None or self._leadership.epoch != epoch:
            self._leadership = leadership.Leadership(
                clock=self._clock,
                wall_clock=self._wall_clock,
                machine=self._machine,
                settings=self._settings.leases,
                epoch=epoch,
                elected_ms=elected_ms,
                read_control_ids=lambda: self._log.member_ids,
            )
        return self._leadership

    def _refuse(
        self,
        peer: endpoint.Peer,
        message: object,
        kind: ErrorKind,
        detail: str = '',
    ) -> None:
        if isinstance(message, leases.LeaseRequest):
            answer = leases.LeaseRefused(
                sequence=message.sequence,
                kind=kind,
                leader_id=self._log.leader_id or '',
            )
        else:
            answer = leases.ControlRefused(
                request_id=client.correlation_id(message),
                kind=kind,
                leader_id=self._log.leader_id or '',
                detail=detail,
            )
        self._send(route=peer.route, message=answer)

    def _reply_with(
        self, answered: defer.Deferred, peer: endpoint.Peer, message: object
    ) -> None:
        """Send the result of a Deferred; refuse the request if it fails."""

        def reply(answer):
            self._send(route=peer.route, message=answer)

        def refuse(failure):
            LOG.info(
                'request failed; answering that this host does not lead',
                extra={'cause': failure.getErrorMessage()},
            )
            self._refuse(peer, message, ErrorKind.NOT_LEADER)

        answered.addCallbacks(reply, refuse)

    def _propose_and_reply(self, peer: endpoint.Peer, message: object) -> None:
        self._reply_with(self.propose(message), peer, message)

    def _read_and_reply(
        self,
        peer: endpoint.Peer,
        message: object,
        read: Callable[[], object],
    ) -> None:
        confirmed = self._log.confirm_read()
        confirmed.addCallback(lambda _: read())
        self._reply_with(confirmed, peer, message)

    def _answer_in_force(self, peer, request) -> None:
        self._read_and_reply(peer, request, lambda: self._in_force(request))

    def _in_force(self, request) -> operators.InForceAnswered:
        version = self._machine.data.config.state_version
        if request.state_version > version:
            return operators.InForceAnswered(
                request_id=request.request_id, in_force=False
            )
        waiting = self._current().leases.waiting_for(
            version=request.state_version
        )
        return operators.InForceAnswered(
            request_id=request.request_id,
            in_force=not waiting,
            waiting_for=waiting,
        )

    def _answer_query(self, peer, request) -> None:
        self._read_and_reply(
            peer,
            request,
            lambda: views.answer_query(
                request=request,
                data=self._machine.data,
                current=self._current(),
            ),
        )

    def _answer_dump(self, peer, request) -> None:
        current = self._current() if self._log.is_leader else None
        answer = operators.DumpAnswered(
            request_id=request.request_id,
            json_text=views.dump(
                data=self._machine.data,
                current=current,
                replica=self._log.dump(),
            ),
        )
        self._send(route=peer.route, message=answer)

    def _fetch_routes(self, peer, request) -> None:
        self._read_and_reply(
            peer,
            request,
            lambda: route_messages.RoutesFetched(
                request_id=request.request_id,
                version=self._machine.data.routes.version,
                document=self._machine.data.routes.document,
            ),
        )

    def _claim_job(self, peer, request) -> None:
        """Commit a claim only if a job is queued or the claim is resent.

        Entries poll continuously, so an empty poll adds no log entry.
        """
        job_state = self._machine.data.jobs
        if job_state.queued or job_state.has_claim(
            claim_id=request.request_id
        ):
            self._propose_under_lease(peer, request)
        else:
            no_job = jobs.JobClaimed(request_id=request.request_id)
            self._send(route=peer.route, message=no_job)

    def _fetch_job(self, peer, request) -> None:
        self._read_and_reply(
            peer,
            request,
            lambda: self._machine.data.jobs.fetch(request=request),
        )

    def _report_usage(self, peer, report) -> None:
        holder = leases.Holder(
            holder_id=report.entry_id, incarnation=report.entry_incarnation
        )
        is_plausible = all(map(_is_plausible, report.records))
        if granting.is_same_process(peer, holder) and is_plausible:
            self._propose_and_reply(peer, report)
            return
        if not is_plausible:
            LOG.warning(
                'refused a usage report with a number out of bounds',
                extra={'peer': peer.process_id, 'sequence': report.sequence},
            )
        self._refuse(peer, report, ErrorKind.FORBIDDEN)

    def _propose_under_lease(self, peer, request) -> None:
        """Commit an entry's request unless its lease has surely expired."""
        holder = leases.Holder(
            holder_id=request.entry_id, incarnation=request.entry_incarnation
        )
        if not granting.is_same_process(peer, holder):
            self._refuse(peer, request, ErrorKind.FORBIDDEN)
        elif not self._current().leases.may_act(holder):
            self._refuse(peer, request, ErrorKind.NO_LEASE)
        else:
            self._propose_and_reply(peer, request)


def _is_plausible(record: allowances.UsageRecord) -> bool:
    """Return whether the numbers of a usage record may be summed up."""
    return all(
        0 <= number <= MAX_REPORTED_TOKENS
        for number in (
            record.requests,
            record.prompt_tokens,
            record.cached_tokens,
            record.generated_tokens,
        )
    )
