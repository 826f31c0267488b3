"""Gives the engine the orders that the configuration asks for."""

import logging

import attrs
from twisted.internet import defer

from shallothinge.agent import authority as authorities
from shallothinge.agent import engine as engines
from shallothinge.agent import fencing
from shallothinge.agent import rollout as rollouts
from shallothinge.agent import watch as watches
from shallothinge.leases import client as clients
from shallothinge.leases import holder as holders

LOG = logging.getLogger(__name__)

DONE = 200
STALE = 409


class OrderService:
    """Orders of one agent, one at a time.

    :param models_in_use: returns the models that have running streams.
    """

    def __init__(
        self,
        *,
        engine: engines.EngineClient,
        authority: authorities.Authority,
        guard: fencing.FenceGuard,
        holder: holders.LeaseHolder,
        control: clients.ControlClient,
        rollout: rollouts.Rollout,
        watch: watches.EngineWatch,
        models_in_use,
    ):
        self._engine = engine
        self._authority = authority
        self._guard = guard
        self._holder = holder
        self._control = control
        self._rollout = rollout
        self._watch = watch
        self._models_in_use = models_in_use
        self._under_way = False

    def engine_restarted(self) -> None:
        """Load again what a restarted engine has lost."""
        self._rollout.reset()
        self._announce()

    def look(self) -> None:
        """Give the next order, if one is due and allowed."""
        if self._under_way or not self._authority.may_act():
            return
        fence = self._authority.fence
        self._guard.saw_fence(fence)
        if not self._guard.may_order(fence=fence):
            return
        if not self._watch.is_serving():
            return
        step = self._rollout.next_step(
            bundle=self._holder.config.bundle, in_use=self._models_in_use()
        )
        if step is not None:
            self._give(step, fence)

    @defer.inlineCallbacks
    def _give(self, step: rollouts.Step, fence: int):
        self._under_way = True
        incarnation = self._watch.incarnation
        try:
            answer = yield self._engine.order(
                order=engines.EngineOrder(
                    order=step.order.value,
                    model=step.model,
                    adapter=step.adapter,
                    fence=fence,
                ),
                may_send=lambda: self._may_send(fence),
                timeout_ms=fencing.ORDER_TIMEOUT_MS,
            )
        except Exception as error:
            LOG.warning('an order got no answer: %r', error)
            self._rollout.failed(retry_after_ms=0)
        else:
            if incarnation == self._watch.incarnation:
                self._take(step, answer, fence)
        finally:
            self._under_way = False

    def _may_send(self, fence: int) -> bool:
        self._guard.saw_fence(self._authority.fence)
        allowed = self._guard.may_order(fence=fence)
        return allowed and self._authority.may_act()

    def _take(self, step, answer, fence: int) -> None:
        if answer.status == DONE:
            LOG.info('the engine did %s %s', step.order.value, step.model)
            self._rollout.succeeded(step)
            self._announce()
            return
        if answer.status == STALE:
            self._authority.supersede(fence=fence)
        self._rollout.failed(retry_after_ms=answer.retry_after_ms)

    def _announce(self) -> None:
        models = self._rollout.models
        if models != self._holder.server.models:
            self._holder.server = attrs.evolve(
                self._holder.server, models=models
            )
            self._control.renew_now()
