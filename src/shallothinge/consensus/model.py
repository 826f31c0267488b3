"""Data of the replicated log: entries, configurations, records, effects."""

import enum

import attrs

REPLICA_ID_SEPARATOR = '/'


class EntryKind(enum.Enum):
    """What an entry of the log holds."""

    COMMAND = 'command'
    CONFIGURATION = 'configuration'
    NOOP = 'noop'


class Role(enum.Enum):
    """What a replica does in its current term."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class Refusal(enum.Enum):
    """Why a voter refused its vote; told in logs only."""

    NONE = ''
    OLD_TERM = 'old_term'
    HEARS_LEADER = 'hears_leader'
    VOTED_FOR_ANOTHER = 'voted_for_another'
    HOLDS_NOTHING = 'holds_nothing'
    LOG_BEHIND = 'log_behind'


@attrs.frozen(kw_only=True)
class Timing:
    """Times and sizes of the protocol.

    The election timeout is drawn between ``election_min_ms`` and
    ``election_max_ms``, the first one of a process up to
    ``first_election_ms`` if that is not 0: where a leader lives it is heard
    by then, and where all were restarted every moment counts.
    ``batch_bytes`` bounds the entries of one message and ``chunk_bytes`` a
    piece of a snapshot. ``kept_entries`` remain in the log behind a
    snapshot for replicas that are a little late. A replica that was silent
    for ``replace_silent_ms`` counts as gone, and is removed while more than
    ``least_voters`` are left; 0 keeps all.
    """

    heartbeat_ms: int = 100
    election_min_ms: int = 500
    election_max_ms: int = 1000
    first_election_ms: int = 0
    batch_bytes: int = 256 * 1024
    chunk_bytes: int = 256 * 1024
    kept_entries: int = 200
    replace_silent_ms: int = 0
    least_voters: int = 3


def majority_of(count: int) -> int:
    """Return how many of a number of voters are a majority."""
    return count // 2 + 1


@attrs.frozen(kw_only=True)
class Configuration:
    """The replicas of the log: those with a vote and those without."""

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()

    @property
    def quorum(self) -> int:
        """Return how many voters are a majority."""
        return majority_of(len(self.voters))

    @property
    def replicas(self) -> tuple[str, ...]:
        """Return the ids of all replicas."""
        return self.voters + self.learners


@attrs.frozen(kw_only=True)
class Entry:
    """One entry of the log."""

    index: int
    term: int
    kind: EntryKind = EntryKind.COMMAND
    data: bytes = b''
    configuration: Configuration | None = None


@attrs.frozen(kw_only=True)
class Identity:
    """Record: who the owner of a data folder is.

    ``rejoin`` tells that the folder was made to replace a lost or damaged
    one, so that the leader may replace the former replica of this process.
    """

    replica_id: str
    rejoin: bool = False


@attrs.frozen(kw_only=True)
class Cluster:
    """Record: the cluster that the replica belongs to.

    ``founders`` are its first voters, or empty in a replica that joined.
    """

    cluster_id: str
    founders: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class HardState:
    """Record: the newest term seen and the vote given in it."""

    term: int = 0
    voted_for: str = ''


@attrs.frozen(kw_only=True)
class LogBase:
    """Record: the entry before the first one that the log still holds."""

    index: int = 0
    term: int = 0
    configuration: Configuration = Configuration()


@attrs.frozen(kw_only=True)
class Snapshot:
    """The state machine's state after the entry at ``index``."""

    index: int
    term: int
    configuration: Configuration
    data: bytes = attrs.field(repr=False)


RECORDS = (Identity, Cluster, HardState, LogBase, Entry, Snapshot)


@attrs.frozen(kw_only=True)
class Restored:
    """What a replica finds in its data folder at start."""

    cluster: Cluster | None = None
    hard_state: HardState = HardState()
    base: LogBase = LogBase()
    entries: tuple[Entry, ...] = ()
    snapshot: Snapshot | None = None


@attrs.frozen(kw_only=True)
class Proposed:
    """The entry was appended; it is not committed yet."""

    index: int
    term: int


@attrs.frozen(kw_only=True)
class ProposalRefused:
    """The entry was not appended and never will be."""

    leader_id: str
    reason: str = 'not the leader'


@attrs.frozen(kw_only=True)
class ReadConfirmed:
    """A read is up to date once the entry at ``index`` is applied."""

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
    """What the owner of a node must do, in the order of the fields.

    ``snapshot`` is to be stored and the log rewritten from the node's
    records; ``records`` are to be synced; only then may the messages leave
    and the rest be done.
    """

    snapshot: Snapshot | None = None
    records: tuple[Cluster | HardState | Entry, ...] = ()
    messages: tuple[object, ...] = ()
    committed: tuple[Entry, ...] = ()
    reads: tuple[ReadConfirmed, ...] = ()
    failed_reads: tuple[str, ...] = ()
    role: RoleChanged | None = None


def make_replica_id(*, process_id: str, disk_id: str) -> str:
    """Return the identity of one data folder of a process."""
    return f'{process_id}{REPLICA_ID_SEPARATOR}{disk_id}'


def process_id_of(replica_id: str) -> str:
    """Return the id of the process that a replica belongs to."""
    return replica_id.rpartition(REPLICA_ID_SEPARATOR)[0]
