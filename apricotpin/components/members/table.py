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


class HostRow:
    """Hold a host and where the knowledge of it comes from.

    heard_s is the time of the last heartbeat received here, or None if
    another entry host watches this one. listed is the state in the host
    list, empty if the list does not name the host.
    """

    __slots__ = (
        'bucket',
        'change_number',
        'digest',
        'last_heartbeat_s',
        'host',
        'listed_state',
        'last_confirmed_s',
    )

    def __init__(
        self, host: Host, change_number: int, last_confirmed_s: float
    ) -> None:
        self.host = host
        self.change_number = change_number
        self.digest = 0
        self.bucket = rank_of(host.host_id) % const.SYNC_BUCKETS
        self.last_confirmed_s = last_confirmed_s
        self.last_heartbeat_s: float | None = None
        self.listed_state = ''


class Tombstone:
    """Remember the incarnation of a host that was removed."""

    __slots__ = ('incarnation', 'removed_s')

    def __init__(self, incarnation: int, removed_s: float) -> None:
        self.incarnation = incarnation
        self.removed_s = removed_s


class HostTable:
    """Hold the rows by host id and the number of the last change.

    digests holds one number for each bucket of hosts. Two tables with the
    same public fields have the same digests, so that processes that meet for
    the first time exchange only the buckets in which they differ.
    """

    __slots__ = (
        'change_number',
        'digests',
        'tombstones',
        'rows',
        'last_sweep_s',
        'table_id',
    )

    def __init__(self, table_id: int, now_s: float) -> None:
        self.table_id = table_id
        self.change_number = 0
        self.digests = empty_digests()
        self.rows: dict[str, HostRow] = {}
        self.tombstones: dict[str, Tombstone] = {}
        self.last_sweep_s = now_s


def copy_host(host: Host, **changes: object) -> Host:
    """Return a copy of a host with some fields changed."""
    fields = {name: getattr(host, name) for name in Host.__slots__}
    fields.update(changes)
    return Host(**fields)


def add_row(table: HostTable, host: Host, now_s: float) -> HostRow:
    """Add a row for a host and return it."""
    row = HostRow(host, 0, now_s)
    table.rows[host.host_id] = row
    mark_changed(table, row)
    return row


def update_row(table: HostTable, row: HostRow, host: Host) -> None:
    """Replace the host of a row; others pull it if a public field differs."""
    changed = any(
        getattr(host, name) != getattr(row.host, name)
        for name in _PUBLIC_FIELDS
    )
    row.host = host
    if changed:
        mark_changed(table, row)


def mark_changed(table: HostTable, row: HostRow) -> None:
    """Make others pull the row again."""
    table.change_number += 1
    row.change_number = table.change_number
    digest = _digest(row.host)
    table.digests[row.bucket] ^= row.digest ^ digest
    row.digest = digest


def is_leaving(host: Host) -> bool:
    """Tell whether the record says that the host leaves."""
    return host.state == names.HOST_LEAVING


def effective_hosts(table: HostTable) -> list[Host]:
    """Return all hosts with the state that routing has to respect."""
    return [_with_effective_state(row) for row in table.rows.values()]


def live_entry_hosts(table: HostTable) -> Iterator[Host]:
    """Iterate over entry hosts that may be asked."""
    for row in table.rows.values():
        host = row.host
        if (
            host.role != names.ROLE_ENTRY
            or row.listed_state == names.HOST_LEAVING
        ):
            continue
        if host.state == names.HOST_LIVE and host.peer_address:
            yield host


def remove_row(table: HostTable, row: HostRow) -> None:
    """Remove a row; peers are not told, each removes it by its own rule."""
    table.rows.pop(row.host.host_id)
    table.digests[row.bucket] ^= row.digest
    table.change_number += 1


def empty_digests() -> list[int]:
    """Return the digests of a table without hosts."""
    return [0 for _ in range(const.SYNC_BUCKETS)]


def _digest(host: Host) -> int:
    fields = [str(getattr(host, name)) for name in _PUBLIC_FIELDS]
    # Thrift has signed 64-bit numbers only.
    return rank_of(host.host_id, *fields) >> 1


def _with_effective_state(row: HostRow) -> Host:
    if row.listed_state != names.HOST_LEAVING or is_leaving(row.host):
        return row.host
    return copy_host(row.host, state=names.HOST_LEAVING)
