"""Data types of the replicated log, its stored records and effects."""

import enum

import attrs

REPLICA_ID_SEPARATOR = '/'


class EntryKind(enum.Enum):
    """The kind of a log entry."""

    COMMAND = 'command'
    CONFIGURATION = 'configuration'
    NOOP = 'noop'


class Role(enum.Enum):
    """The role of a replica in its current term."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class Refusal(enum.Enum):
    """Why a voter refused its vote; used only in logs."""

    NONE = ''
    OLD_TERM = 'old_term'
    HEARS_LEADER = 'hears_leader'
    VOTED_FOR_ANOTHER = 'voted_for_another'
    HOLDS_NOTHING = 'holds_nothing'
    LOG_BEHIND = 'log_behind'


@attrs.frozen(kw_only=True)
class Timing:
    """Timeouts and size limits of the protocol.

    The election timeout is drawn at random between ``election_min_ms`` and
    ``election_max_ms``. The first one of a process is at most
    ``first_election_ms``, unless that is 0: a live leader is heard by then,
    and after a restart of all replicas a short timeout restores service
    sooner. ``batch_bytes`` limits the entries in one message and
    ``chunk_bytes`` the size of a snapshot chunk. ``kept_entries`` is how
    many entries before a snapshot stay in the log, for replicas that lag
    slightly, and ``kept_bytes`` how many bytes of them do if the snapshot is
    not large. A replica that is silent for longer than ``replace_silent_ms``
    counts as unavailable; it is removed while there are more than
    ``min_voters`` voters. 0 disables automatic removal.
    """

    heartbeat_ms: int = 100
    election_min_ms: int = 500
    election_max_ms: int = 1000
    first_election_ms: int = 0
    batch_bytes: int = 256 * 1024
    chunk_bytes: int = 256 * 1024
    kept_entries: int = 200
    kept_bytes: int = 1024 * 1024
    replace_silent_ms: int = 0
    min_voters: int = 3


def majority_of(count: int) -> int:
    """Return the size of a majority of ``count`` voters."""
    return count // 2 + 1


@attrs.frozen(kw_only=True)
class Configuration:
    """The members of the cluster: voters, and learners without a vote."""

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()

    @property
    def quorum(self) -> int:
        """Return the size of a majority of the voters."""
        return majority_of(len(self.voters))

    @property
    def replicas(self) -> tuple[str, ...]:
        """Return the ids of all replicas, voters first."""
        return self.voters + self.learners


@attrs.frozen(kw_only=True)
class Entry:
    """One log entry."""

    index: int
    term: int
    kind: EntryKind = EntryKind.COMMAND
    data: bytes = b''
    configuration: Configuration | None = None


@attrs.frozen(kw_only=True)
class Identity:
    """Record: the replica that owns a data folder.

    ``rejoin`` means that the folder was created to replace a lost or
    damaged one, so the leader may replace the former replica of this
    process.
    """

    replica_id: str
    rejoin: bool = False


@attrs.frozen(kw_only=True)
class Cluster:
    """Record: the cluster that the replica belongs to.

    ``founders`` are its initial voters; empty in a replica that joined later.
    """

    cluster_id: str
    founders: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class HardState:
    """Record: the latest term seen and the vote cast in it."""

    term: int = 0
    voted_for: str = ''


@attrs.frozen(kw_only=True)
class LogBase:
    """Record: the entry just before the first one in the log."""

    index: int = 0
    term: int = 0
    configuration: Configuration = Configuration()


@attrs.frozen(kw_only=True)
class Snapshot:
    """The state of the state machine after the entry at ``index``."""

    index: int
    term: int
    configuration: Configuration
    data: bytes = attrs.field(repr=False)


RECORDS = (Identity, Cluster, HardState, LogBase, Entry, Snapshot)


@attrs.frozen(kw_only=True)
class Restored:
    """The state that a replica reads from its data folder at start."""

    cluster: Cluster | None = None
    hard_state: HardState = HardState()
    base: LogBase = LogBase()
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@attrs.frozen(kw_only=True)
class Proposed:
    """The entry was appended to the leader's log; not committed yet."""

    index: int
    term: int


@attrs.frozen(kw_only=True)
class ProposalRefused:
    """The entry was not appended, and will not be."""

    leader_id: str
    reason: str = 'not the leader'


@attrs.frozen(kw_only=True)
class ReadConfirmed:
    """A read may be served once the entry at ``index`` is applied."""

    read_id: str
    index: int


@attrs.frozen(kw_only=True)
class RoleChanged:
    """The replica's role or the leader that it follows changed."""

    role: Role
    term: int
    leader_id: str


@attrs.frozen(kw_only=True)
class Effects:
    """Actions that the owner of a node must carry out, in field order.

    First store ``snapshot``, if there is one, and rewrite the log from the
    node's records. Then write and sync ``records``. Only after that, send
    ``messages`` and process the other fields.
    """

    snapshot: Snapshot | None = None
    records: tuple[Cluster | HardState | Entry, ...] = ()
    messages: tuple[object, ...] = ()
    committed: tuple[Entry, ...] = ()
    reads: tuple[ReadConfirmed, ...] = ()
    failed_reads: tuple[str, ...] = ()
    role: RoleChanged | None = None


def make_replica_id(*, process_id: str, disk_id: str) -> str:
    """Return the id of the replica in one data folder of a process."""
    return f'{process_id}{REPLICA_ID_SEPARATOR}{disk_id}'


def process_id_of(replica_id: str) -> str:
    """Return the id of the process that a replica belongs to."""
    return replica_id.rpartition(REPLICA_ID_SEPARATOR)[0]
