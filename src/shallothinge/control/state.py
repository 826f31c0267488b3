"""The deterministic state machine of the replicated log.

Every control host applies each committed command once, in log order.
Applying a command never reads a clock: the time is the timestamp that the
leader stored with the command.
"""

from collections.abc import Callable
import datetime
import hashlib

import attrs
from cattrs.preconf import msgpack as cattrs_msgpack
import msgpack

from shallothinge import wire
from shallothinge.allowances import messages as allowances
from shallothinge.allowances.slices import Allowances
from shallothinge.bundles import messages as bundle_messages
from shallothinge.bundles.model import ServingConfig
from shallothinge.bundles.state import BundleStore
from shallothinge.calls import messages as calls
from shallothinge.calls.claims import ClaimRecord
from shallothinge.calls.claims import Claims
from shallothinge.clock import MS_PER_SECOND
from shallothinge.control import commands
from shallothinge.control import snapshots
from shallothinge.control.answers import FirstAnswer
from shallothinge.control.answers import OrderAnswers
from shallothinge.errors import ErrorKind
from shallothinge.jobs import messages as jobs
from shallothinge.jobs.state import Jobs
from shallothinge.leases import messages as leases
from shallothinge.ledger.state import Ledger
from shallothinge.membership import messages as membership
from shallothinge.membership.departures import Departures
from shallothinge.membership.fences import Fences
from shallothinge.operators import messages as operators
from shallothinge.outages.state import Outages
from shallothinge.routes import messages as routes
from shallothinge.routes.state import RouteStore


@attrs.define(kw_only=True)
class StateData:
    """The replicated state, which snapshots contain in full."""

    now_ms: int = 0
    config: ServingConfig = attrs.field(factory=ServingConfig)
    orders: OrderAnswers = attrs.field(factory=OrderAnswers)
    bundles: BundleStore = attrs.field(factory=BundleStore)
    outages: Outages = attrs.field(factory=Outages)
    fences: Fences = attrs.field(factory=Fences)
    departures: Departures = attrs.field(factory=Departures)
    claims: Claims = attrs.field(factory=Claims)
    allowances: Allowances = attrs.field(factory=Allowances)
    ledger: Ledger = attrs.field(factory=Ledger)
    jobs: Jobs = attrs.field(factory=Jobs)
    routes: RouteStore = attrs.field(factory=RouteStore)

    def active_holders(self) -> set[leases.Holder]:
        """Return the holders whose end affects calls, jobs or slices."""
        return {
            *self.claims.running.values(),
            *self.allowances.holders(),
            *self.jobs.running.values(),
        }

    def allowance_of(self, *, workspace: str) -> int | None:
        """Return a workspace's tokens per month, or None if it is unknown."""
        bundle = self.config.bundle
        for spec in () if bundle is None else bundle.workspaces:
            if spec.name == workspace:
                return spec.allowance_tokens_per_month
        return None


def fingerprint(order: object) -> str:
    """Return a hash of the content of an order."""
    return hashlib.sha256(repr(order).encode()).hexdigest()


def month_of(now_ms: int) -> str:
    """Return the month (``YYYY-MM``, UTC) of a time in Unix milliseconds."""
    instant = datetime.datetime.fromtimestamp(
        now_ms // MS_PER_SECOND, datetime.UTC
    )
    return instant.date().isoformat()[: len('2026-01')]


class ControlState:
    """Applies commands, and takes and restores snapshots.

    ``data`` is the state after the last applied command.

    :param codec: codec of the commands; None to build one.
    """

    def __init__(self, *, codec: wire.Codec | None = None):
        self.data = StateData()
        self._codec = codec or commands.build_codec()
        self._converter = cattrs_msgpack.make_converter()
        self._claims_cache = snapshots.RecordCache(
            converter=self._converter, record_type=ClaimRecord
        )
        self._orders_cache = snapshots.RecordCache(
            converter=self._converter, record_type=FirstAnswer
        )
        self._handlers: dict[type, Callable[[object, int], object]] = {
            commands.RefuseOrder: self._refuse_order,
            bundle_messages.AcceptBundle: self._accept_bundle,
            operators.SignOffBundle: self._sign_off,
            operators.RollBundle: self._roll,
            operators.SetZone: self._set_zone,
            operators.SetServer: self._set_server,
            membership.FenceServer: self._fence_server,
            membership.RecordDeparture: self._record_departure,
            membership.ForgetDepartures: self._forget_departures,
            calls.ClaimCall: self._claim,
            calls.ResolveClaim: self._resolve_claim,
            calls.ResolveUnknownCall: self._resolve_unknown_call,
            allowances.SliceRequested: self._grant_slice,
            allowances.UsageReported: self._store_usage,
            leases.EndHolders: self._end_holders,
            jobs.SubmitJob: self._submit_job,
            jobs.ClaimJob: self._claim_job,
            jobs.FinishJob: self._finish_job,
            commands.Prune: self._prune,
            routes.StoreRoutes: self._store_routes,
        }

    def apply(self, *, index: int, command: bytes) -> bytes:
        """Apply one committed command.

        :param index: the log index of the command.
        :param command: bytes of a ``Stamped`` command.
        :returns: bytes of the answer.
        :raises wire.WireError: if this release doesn't know the command;
            the host must not skip it and continue.
        """
        stamped = self._codec.decode(command)
        self.data.now_ms = max(self.data.now_ms, stamped.now_ms)
        self.data.allowances.begin_month(month=month_of(self.data.now_ms))
        message = self._codec.decode(stamped.command)
        answer = self._handlers[type(message)](message, index)
        return self._codec.encode(answer)

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        reduced = attrs.evolve(
            self.data,
            claims=attrs.evolve(self.data.claims, by_key={}, keys={}),
            orders=OrderAnswers(),
        )
        return msgpack.packb(
            {
                'data': self._converter.unstructure(reduced),
                'claims': self._claims_cache.encode(self.data.claims.by_key),
                'orders': self._orders_cache.encode(self.data.orders.by_id),
            }
        )

    def restore(self, snapshot: bytes) -> None:
        """Replace the state with that of a snapshot.

        :raises cattrs.BaseValidationError: if the bytes are not a snapshot.
        """
        fields = msgpack.unpackb(snapshot)
        self.data = self._converter.structure(fields['data'], StateData)
        self.data.claims.restore(self._claims_cache.decode(fields['claims']))
        self.data.orders.by_id = self._orders_cache.decode(fields['orders'])

    def _execute_once(
        self,
        order: object,
        execute: Callable[[], operators.OrderAnswered],
        *,
        order_hash: str = '',
    ) -> operators.OrderAnswered:
        order_hash = order_hash or fingerprint(order)
        first = self.data.orders.find(
            order_id=order.order_id, fingerprint=order_hash
        )
        if first is not None:
            return first
        answer = execute()
        self.data.orders.store(
            fingerprint=order_hash, answer=answer, now_ms=self.data.now_ms
        )
        return answer

    def _refuse_order(self, command, index):
        return self._execute_once(
            command.answer,
            lambda: command.answer,
            order_hash=command.fingerprint,
        )

    def _accept_bundle(self, command, index):
        return self._execute_once(
            command,
            lambda: self.data.bundles.accept(
                command=command, now_ms=self.data.now_ms
            ),
            order_hash=command.fingerprint,
        )

    def _sign_off(self, order, index):
        return self._execute_once(
            order,
            lambda: self.data.bundles.sign_off(
                order=order, now_ms=self.data.now_ms
            ),
        )

    def _roll(self, order, index):
        return self._execute_once(
            order, lambda: self._execute_roll(order, index)
        )

    def _execute_roll(self, order, index):
        answer = self.data.bundles.roll(
            order=order, now_ms=self.data.now_ms, index=index
        )
        if answer.kind is None:
            self._rebuild_config(index)
        return answer

    def _set_zone(self, order, index):
        return self._execute_once(
            order, lambda: self._execute_set_zone(order, index)
        )

    def _execute_set_zone(self, order, index):
        bundle = self.data.config.bundle
        zones = () if bundle is None else bundle.zones
        if order.out and zones and order.zone not in zones:
            return operators.OrderAnswered(
                order_id=order.order_id,
                kind=ErrorKind.NOT_FOUND,
                detail=f'no zone {order.zone}; known: {", ".join(zones)}',
            )
        return self._answer_outage(
            order, index, self.data.outages.set_zone(order=order)
        )

    def _set_server(self, order, index):
        return self._execute_once(
            order,
            lambda: self._answer_outage(
                order, index, self.data.outages.set_server(order=order)
            ),
        )

    def _answer_outage(self, order, index, changed):
        if changed:
            self._rebuild_config(index)
        return operators.OrderAnswered(
            order_id=order.order_id,
            state_version=self.data.config.state_version,
        )

    def _rebuild_config(self, index: int) -> None:
        record = self.data.bundles.in_force
        self.data.config = ServingConfig(
            state_version=index,
            bundle=None if record is None else record.bundle,
            zones_out=self.data.outages.zones,
            servers_out=self.data.outages.servers,
            routes_version=self.data.routes.version,
            routes_document=self.data.routes.document,
        )

    def _store_routes(self, order, index):
        if self.data.routes.store(order):
            self._rebuild_config(index)
        return routes.RoutesStored(
            request_id=order.request_id, version=self.data.routes.version
        )

    def _fence_server(self, command, index):
        self.data.fences.advance(
            server_id=command.server_id,
            incarnation=command.incarnation,
            index=index,
        )
        return commands.Done()

    def _record_departure(self, command, index):
        is_new = self.data.departures.record(
            command, index=index, now_ms=self.data.now_ms
        )
        if is_new:
            self._rebuild_config(index)
        return commands.Done()

    def _forget_departures(self, command, index):
        self.data.departures.forget_old(now_ms=self.data.now_ms)
        return commands.Done()

    def _claim(self, request, index):
        return self.data.claims.claim(
            request=request, index=index, now_ms=self.data.now_ms
        )

    def _resolve_claim(self, request, index):
        return self.data.claims.resolve(
            request=request, now_ms=self.data.now_ms
        )

    def _resolve_unknown_call(self, order, index):
        return self._execute_once(
            order,
            lambda: self.data.claims.resolve_by_operator(
                order=order, now_ms=self.data.now_ms
            ),
        )

    def _grant_slice(self, request, index):
        allowance_tokens = self.data.allowance_of(workspace=request.workspace)
        if allowance_tokens is None:
            return allowances.SliceGranted(
                request_id=request.request_id,
                workspace=request.workspace,
                tokens=0,
            )
        return self.data.allowances.grant(
            request=request, allowance_tokens=allowance_tokens
        )

    def _store_usage(self, report, index):
        is_new = self.data.ledger.add(report=report, now_ms=self.data.now_ms)
        if is_new:
            self.data.allowances.settle(
                holder=leases.Holder(
                    holder_id=report.entry_id,
                    incarnation=report.entry_incarnation,
                ),
                records=report.records,
            )
        return allowances.UsageStored(sequence=report.sequence)

    def _end_holders(self, command, index):
        self.data.claims.end_holders(
            holders=command.holders, now_ms=self.data.now_ms
        )
        self.data.allowances.end_holders(holders=command.holders)
        self.data.jobs.end_holders(
            holders=command.holders, index=index, now_ms=self.data.now_ms
        )
        return commands.Done()

    def _prune(self, command, index):
        self.data.claims.prune(before_ms=command.before_ms)
        self.data.jobs.prune(before_ms=command.jobs_before_ms)
        return commands.Done()

    def _submit_job(self, request, index):
        return self.data.jobs.submit(
            request=request, index=index, now_ms=self.data.now_ms
        )

    def _claim_job(self, request, index):
        return self.data.jobs.claim(
            request=request, index=index, now_ms=self.data.now_ms
        )

    def _finish_job(self, request, index):
        return self.data.jobs.finish(
            request=request, index=index, now_ms=self.data.now_ms
        )
