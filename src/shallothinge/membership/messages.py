"""Commands of the replicated log about backend servers."""

import attrs


@attrs.frozen(kw_only=True)
class FenceServer:
    """Make an incarnation of a backend server's agent the newest one."""

    server_id: str
    incarnation: str


COMMANDS = (FenceServer,)
