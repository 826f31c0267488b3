"""How an agent announces its backend server."""

from shallothinge import process as processes
from shallothinge.leases import holder as holders
from shallothinge.membership.model import BackendServer
from shallothinge.settings import model


def make_holder(
    *,
    settings: model.AgentSettings,
    process: processes.Process,
    address: str,
) -> holders.LeaseHolder:
    """Return a holder whose requests announce the backend server.

    :param address: zmq address on which the agent listens.
    """
    own = settings.process
    backend = settings.backend
    holder = holders.LeaseHolder(
        clock=process.clock,
        holder_id=own.process_id,
        incarnation=process.incarnation,
        role='agent',
        wants_members=False,
    )
    holder.server = BackendServer(
        server_id=own.process_id,
        incarnation=process.incarnation,
        address=address,
        zone=own.zone,
        host=own.host,
        models=backend.models,
        services=backend.services,
        memory_tokens=backend.memory_tokens,
        checks_fencing=backend.checks_fencing,
        engine_url=backend.url,
    )
    return holder
