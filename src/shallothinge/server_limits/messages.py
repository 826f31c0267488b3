"""Messages by which gateways share the limits of servers."""

import attrs


@attrs.frozen(kw_only=True)
class LimitsReported:
    """Limits that backend servers have named, and requests to these servers.

    :ivar limits: id and incarnation of a server, requests a second that it
        takes from all gateways (None if it names no limit any more), and the
        number of changes until then. A change that is repeated has no effect.
    :ivar requests: id and incarnation of each of these servers to which the
        sender has sent requests since its last report, and their number.
    """

    limits: tuple[tuple, ...] = ()
    requests: tuple[tuple, ...] = ()


MESSAGES = (LimitsReported,)
