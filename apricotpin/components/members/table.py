"""Table of known hosts and the the changes to it; no I/O."""

from collections.abc import Iterator

from apricotpin import const as names
from apricotpin.components.members import const
from apricotpin.helpers.hashing import rank_of
from apricotpin.messages.hosts import Host

# Fields whose change other hosts are told about. Load and the heartbeat
# count change every second and would make each pull return every host.
_PUBLIC_FIELDS = (
    'role',
    'region',
    'data_centre',
    'peer_address',
    'upstream_address',
    'service_name',
    'state',
    'incarnation',
    'model',
    'version',
)


class Row:
    """Hold a host and where the knowledge of it comes from.

    heard_s is the time of the last heartbeat received here, or None if
    another entry host watches this one. listed is the state in the host
    list, empty if the list does not name the host.
    """

    __slots__ = (
        'bucket',
        'change',
        'digest',
        'heard_s',
        'host',
        'listed',
        'seen_s',
    )

    def __init__(self, host: Host, change: int, seen_s: float) -> None:
        self.host = host
        self.change = change
        self.digest = 0
        self.bucket = rank_of(host.host_id) % const.SYNC_BUCKETS
        self.seen_s = seen_s
        self.heard_s: float | None = None
        self.listed = ''


class RemovedHost:
    """Remember the incarnation of a host that was removed."""

    __slots__ = ('incarnation', 'removed_s')

    def __init__(self, incarnation: int, removed_s: float) -> None:
        self.incarnation = incarnation
        self.removed_s = removed_s


class Table:
    """Hold the rows by host id and the number of the last change.

    digests holds one number for each bucket of hosts. Two tables with the
    same public fields have the same digests, so that processes that meet for
    the first time exchange only the buckets in which they differ.
    """

    __slots__ = (
        'change',
        'digests',
        'removed',
        'rows',
        'swept_s',
        'table_id',
    )

    def __init__(self, table_id: int, now_s: float) -> None:
        self.table_id = table_id
        self.change = 0
        self.digests = no_digests()
        self.rows: dict[str, Row] = {}
        self.removed: dict[str, RemovedHost] = {}
        self.swept_s = now_s


def copy_host(host: Host, **changes: object) -> Host:
    """Return a copy of a host with some fields changed."""
    fields = {name: getattr(host, name) for name in Host.__slots__}
    fields.update(changes)
    return Host(**fields)


def add_row(table: Table, host: Host, now_s: float) -> Row:
    """Add a row for a host and return it."""
    row = Row(host, 0, now_s)
    table.rows[host.host_id] = row
    touch(table, row)
    return row


def store(table: Table, row: Row, host: Host) -> None:
    """Replace the host of a row; others pull it if a public field differs."""
    changed = any(
        getattr(host, name) != getattr(row.host, name)
        for name in _PUBLIC_FIELDS
    )
    row.host = host
    if changed:
        touch(table, row)


def touch(table: Table, row: Row) -> None:
    """Make others pull the row again."""
    table.change += 1
    row.change = table.change
    digest = _digest(row.host)
    table.digests[row.bucket] ^= row.digest ^ digest
    row.digest = digest


def is_leaving(host: Host) -> bool:
    """Tell whether the record says that the host leaves."""
    return host.state == names.HOST_LEAVING


def visible_hosts(table: Table) -> list[Host]:
    """Return all hosts with the state that routing has to respect."""
    return [_visible(row) for row in table.rows.values()]


def live_entry_hosts(table: Table) -> Iterator[Host]:
    """Iterate over entry hosts that may be asked."""
    for row in table.rows.values():
        host = row.host
        if host.role != names.ROLE_ENTRY or row.listed == names.HOST_LEAVING:
            continue
        if host.state == names.HOST_LIVE and host.peer_address:
            yield host


def remove_row(table: Table, row: Row) -> None:
    """Remove a row; peers are not told, each removes it by its own rule."""
    table.rows.pop(row.host.host_id)
    table.digests[row.bucket] ^= row.digest
    table.change += 1


def no_digests() -> list[int]:
    """Return the digests of a table without hosts."""
    return [0 for _ in range(const.SYNC_BUCKETS)]


def _digest(host: Host) -> int:
    fields = [str(getattr(host, name)) for name in _PUBLIC_FIELDS]
    # Thrift has signed 64-bit numbers only.
    return rank_of(host.host_id, *fields) >> 1


def _visible(row: Row) -> Host:
    if row.listed != names.HOST_LEAVING or is_leaving(row.host):
        return row.host
    return copy_host(row.host, state=names.HOST_LEAVING)
