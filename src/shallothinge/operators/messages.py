"""Messages between an operator's terminal and control, and state dumps.

Every order carries an ``order_id``; a resent order gets its first answer.

An order that takes something out or back carries the ``revision`` of one
leader's outage orders, read before it was given, with that leader's
``epoch``. It is refused once an opposite order has followed, so that an order
that was delayed does not undo a later one. A former release states neither.
"""

import attrs

from shallothinge.errors import ErrorKind


@attrs.frozen(kw_only=True)
class SubmitBundle:
    """Submit a bundle's TOML text under the submitter's signature.

    ``content_hash`` is the hex SHA-256 of the text; ``signature`` is the
    operator's Ed25519 signature over ``submit:`` and the hash.
    """

    order_id: str
    operator: str
    content: str
    content_hash: str
    signature: bytes


@attrs.frozen(kw_only=True)
class SignOffBundle:
    """A second operator's sign-off of a submitted bundle."""

    order_id: str
    operator: str
    content_hash: str
    signature: bytes


@attrs.frozen(kw_only=True)
class RollBundle:
    """Put a signed-off bundle in force, replacing the version it names."""

    order_id: str
    operator: str
    content_hash: str


@attrs.frozen(kw_only=True)
class SetZone:
    """Take an availability zone out of service or bring it back."""

    order_id: str
    operator: str
    zone: str
    out: bool
    epoch: str = attrs.field(default='', repr=False)
    revision: int = attrs.field(default=0, repr=False)


@attrs.frozen(kw_only=True)
class SetServer:
    """Take a backend server out of service or bring it back."""

    order_id: str
    operator: str
    server_id: str
    out: bool
    epoch: str = attrs.field(default='', repr=False)
    revision: int = attrs.field(default=0, repr=False)


@attrs.frozen(kw_only=True)
class RevisionRequested:
    """To the leader: read the revision for an order that is to be given.

    ``server_id`` names the backend server that the order is about, if any.
    """

    request_id: str
    server_id: str = ''


@attrs.frozen(kw_only=True)
class RevisionAnswered:
    """Revision of the leader's orders within its ``epoch``.

    ``incarnation`` is that of the server which the request names, '' if the
    leader has not heard of it.
    """

    request_id: str
    epoch: str
    revision: int
    incarnation: str = ''


@attrs.frozen(kw_only=True)
class OrderAnswered:
    """Control to operator: the order's durable answer.

    ``kind`` is None if the order was accepted; ``state_version`` is then
    the version that holds it.
    """

    order_id: str
    kind: ErrorKind | None = None
    detail: str = ''
    state_version: int = 0


@attrs.frozen(kw_only=True)
class InForceRequested:
    """Operator to control: is a state version in force everywhere?"""

    request_id: str
    state_version: int


@attrs.frozen(kw_only=True)
class InForceAnswered:
    """Control to operator: whether every holder obeys the version.

    ``waiting_for`` names holders that have not confirmed it and whose
    lease may still run.
    """

    request_id: str
    in_force: bool
    waiting_for: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class QueryRequested:
    """Operator to control: read one of the named views of the state.

    ``view`` is one of ``status``, ``bundles``, ``usage``, ``members``,
    ``unknown_calls``.
    """

    request_id: str
    view: str


@attrs.frozen(kw_only=True)
class QueryAnswered:
    """Control to operator: the view as JSON text."""

    request_id: str
    kind: ErrorKind | None = None
    json_text: str = ''


@attrs.frozen(kw_only=True)
class FoundCluster:
    """Operator to an empty control host: found a cluster of these hosts."""

    order_id: str
    cluster_id: str
    member_ids: tuple[str, ...]


@attrs.frozen(kw_only=True)
class ChangeMembers:
    """Operator to control: add or remove a replica of the log."""

    order_id: str
    operator: str
    add_id: str = ''
    remove_id: str = ''
    epoch: str = attrs.field(default='', repr=False)
    revision: int = attrs.field(default=0, repr=False)


@attrs.frozen(kw_only=True)
class DumpRequested:
    """Operator to any process: print the whole state."""

    request_id: str


@attrs.frozen(kw_only=True)
class DumpAnswered:
    """Any process to operator: its state as JSON text."""

    request_id: str
    json_text: str


MESSAGES = (
    SubmitBundle,
    SignOffBundle,
    RollBundle,
    SetZone,
    SetServer,
    RevisionRequested,
    RevisionAnswered,
    OrderAnswered,
    InForceRequested,
    InForceAnswered,
    QueryRequested,
    QueryAnswered,
    FoundCluster,
    ChangeMembers,
    DumpRequested,
    DumpAnswered,
)
