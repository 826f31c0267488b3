"""Commands of the replicated log about bundles."""

import attrs

from shallothinge.bundles.model import Bundle


@attrs.frozen(kw_only=True)
class AcceptBundle:
    """Store a submitted bundle that passed the leader's checks.

    It carries the parsed bundle, so that all control hosts hold the same
    one even while they run different releases. ``fingerprint`` is the
    hash of the operator's order.
    """

    order_id: str
    fingerprint: str
    operator: str
    content: str
    content_hash: str
    bundle: Bundle


COMMANDS = (AcceptBundle,)
