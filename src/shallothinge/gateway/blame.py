"""Which server is at fault for a failed attempt."""

from shallothinge.gateway import attempt as attempts
from shallothinge.gateway import servers as listed
from shallothinge.gateway.policy import Cause


def note_failure(
    *,
    server_id: str,
    outcome: attempts.Outcome,
    servers: listed.Servers,
    tried_ids: set[str],
) -> None:
    """Keep new work off the server that is at fault for a while.

    :param server_id: where the attempt was made.
    :param tried_ids: servers that the request is not sent to any more; a
        sound one that was let down by its helper is taken out.
    """
    if outcome.fault_id:
        # It may well help others; this request looks elsewhere.
        tried_ids.discard(server_id)
        tried_ids.add(outcome.fault_id)
        return
    own = servers.find(server_id)
    fault = outcome.fault_address
    if fault and (own is None or fault != own.address):
        # The server itself is sound and may be asked again.
        tried_ids.discard(server_id)
        servers.failed_at(fault)
    elif outcome.answer is not None and outcome.answer.pause_ms:
        # It said itself when it takes requests again.
        return
    elif outcome.cause is Cause.STALLED:
        servers.stalled(server_id)
    elif outcome.cause is not Cause.SERVER_ERROR:
        servers.failed(server_id)
