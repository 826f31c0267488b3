"""Sample heartbeats of backend servers without an agent."""

from shallothinge.membership import messages
from shallothinge.membership.model import BackendServer


def heartbeat(
    server_id='i',
    *,
    started_ms=1,
    sequence=1,
    address='10.0.0.3:80',
    leaving=False,
):
    """Return a heartbeat of a server."""
    return messages.Heartbeat(
        request_id=f'b{sequence}',
        server=BackendServer(
            server_id=server_id,
            incarnation=str(started_ms),
            address=address,
            zone='z1',
            host='',
            services=('s',),
            leaving=leaving,
            started_ms=started_ms,
        ),
        started_ms=started_ms,
        sequence=sequence,
    )
