"""Determines which server is at fault for a failed attempt."""

from shallothinge.gateway import outcome as outcomes
from shallothinge.gateway import servers as listed
from shallothinge.gateway.policy import FailureCause


def record_failure(
    *,
    server_id: str,
    outcome: outcomes.Outcome,
    servers: listed.Servers,
    tried_ids: set[str],
) -> None:
    """Record a failure, so that the server at fault is avoided for a while.

    :param server_id: server that the attempt was made at.
    :param tried_ids: servers that the request is not sent to again, updated
        in place: a healthy server whose helper failed is removed.
    """
    if outcome.fault_id:
        # The helper may have memory for others; only this request avoids it.
        tried_ids.discard(server_id)
        tried_ids.add(outcome.fault_id)
        return
    own = servers.find(server_id)
    fault = outcome.fault_address
    if fault and (own is None or fault != own.address):
        # The server itself is healthy and may get the request again.
        tried_ids.discard(server_id)
        servers.record_failure_at(fault)
    elif outcome.answer is not None and outcome.answer.pause_ms:
        # The server stated when it accepts requests again.
        return
    elif outcome.cause is not FailureCause.SERVER_ERROR:
        servers.record_failure(server_id)
