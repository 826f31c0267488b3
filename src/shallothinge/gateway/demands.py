"""What a request demands of a backend server, for its placement."""

from shallothinge.gateway import model
from shallothinge.gateway import policy
from shallothinge.placement import choice
from shallothinge.placement import pricing
from shallothinge.placement import server_queue
from shallothinge.routes import model as routes
from shallothinge.scheduling import model as scheduling


def build_demand(
    accepted: model.AcceptedRequest,
    *,
    zone: str,
    waited_ms: int,
    is_resumed: bool,
) -> choice.Demand:
    """Return the demand of a request that has waited for some time.

    :param waited_ms: time since the request arrived.
    :param is_resumed: whether the caller has a part of the answer.
    """
    route = accepted.route
    patience_ms = None
    if not is_resumed:
        patience_ms = -waited_ms + policy.patience_ms(
            route=route, limit_ms=accepted.time_limit_ms
        )
    return choice.Demand(
        service=accepted.service,
        tokens=accepted.request.prompt_tokens,
        answer_tokens=accepted.request.answer_tokens,
        objective_ms=route.objective_ms - waited_ms,
        patience_ms=patience_ms,
        pause_objective_ms=route.pause_objective_ms,
        zone=zone,
        is_resumed=is_resumed,
    )


def build_waiting_request(
    accepted: model.AcceptedRequest, *, started_ms: int
) -> scheduling.WaitingRequest:
    """Return the request as it waits for a slot.

    :param started_ms: instant at which it arrived.
    """
    return scheduling.WaitingRequest(
        service=accepted.service.name,
        urgency=accepted.priority,
        workspace=accepted.workspace,
        due_ms=started_ms + accepted.route.objective_ms,
        abandon_ms=started_ms
        + policy.patience_ms(
            route=accepted.route, limit_ms=accepted.time_limit_ms
        ),
        min_service_ms=choice.busy_first_event_ms(
            accepted.service, accepted.request.prompt_tokens
        ),
    )


def min_answer_ms(
    accepted: model.AcceptedRequest, *, first_event_ms: float = 0.0
) -> float:
    """Return the time in ms to the end of the longest answer if idle.

    :param first_event_ms: expected time until the first event, if that is
        longer than on an idle fleet.
    :returns: zero if the service has no engine.
    """
    service, request = accepted.service, accepted.request
    if service.engine is None:
        return 0.0
    return (
        max(
            first_event_ms,
            choice.min_first_event_ms(service, request.prompt_tokens),
        )
        + request.answer_tokens * service.engine.step_ms
    )


def build_order(
    accepted: model.AcceptedRequest,
    *,
    server_id: str,
    remaining_ms: int,
    last_event_id: str,
) -> model.ForwardOrder:
    """Return what is sent to a server, without the helpers.

    :param remaining_ms: time left until the deadline.
    :param last_event_id: id of the last event that the caller has, or ''.
    """
    return model.ForwardOrder(
        request=accepted.request,
        server_id=server_id,
        workspace=accepted.workspace,
        remaining_ms=remaining_ms,
        last_event_id=last_event_id,
        urgency=accepted.urgency,
    )


def build_work(
    accepted: model.AcceptedRequest,
    placed: choice.Placement,
    *,
    started_ms: int,
    due_ms: int,
) -> server_queue.Work:
    """Return the work at the server itself, without its helpers.

    :param started_ms: instant at which the request is sent.
    :param due_ms: instant after which the first event is late.
    """
    request, route = accepted.request, accepted.route
    is_stream = route.kind is routes.RequestKind.STREAMING
    return server_queue.Work(
        server_id=placed.server_id,
        read_ms=placed.part_ms,
        started_ms=started_ms,
        due_ms=due_ms,
        pause_ms=route.pause_objective_ms if is_stream else 0,
        weight=pricing.weight_of(request.prompt_tokens),
        memory_tokens=request.prompt_tokens
        + request.answer_tokens
        - sum(share.tokens for share in placed.shares),
    )


def can_still_answer(
    accepted: model.AcceptedRequest, *, waited_ms: int
) -> bool:
    """Return whether a request waiting for capacity can be answered in time.

    :param waited_ms: time since the request arrived.
    """
    return policy.can_still_answer(
        route=accepted.route,
        waited_ms=waited_ms,
        service_ms=choice.min_first_event_ms(
            accepted.service, accepted.request.prompt_tokens
        ),
        limit_ms=accepted.time_limit_ms,
    )
