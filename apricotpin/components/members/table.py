"""Table of known hosts and the changes to it; no I/O."""

from collections.abc import Iterator

from apricotpin import const as names
from apricotpin.components.members import const
from apricotpin.helpers.hashing import rank_of
from apricotpin.messages.hosts import Host

# Fields whose change makes peers pull a record again. The load and the
# heartbeat count are left out: they change every second, so each pull would
# return every host.
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
    """Hold a host and the sources of its record.

    last_heartbeat_s is the monotonic time of the last heartbeat that this
    process received, or None if another entry host monitors the host.
    last_confirmed_s is the monotonic time of the last report that was
    applied to the row, from whichever source. listed_state is the state in
    the host list, empty if the host is not listed. change_number is the
    table's change number at the row's last change.
    """

    __slots__ = (
        'bucket',
        'change_number',
        'digest',
        'host',
        'last_confirmed_s',
        'last_heartbeat_s',
        'listed_state',
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
    """Hold the incarnation of a removed host and the time of removal."""

    __slots__ = ('incarnation', 'removed_s')

    def __init__(self, incarnation: int, removed_s: float) -> None:
        self.incarnation = incarnation
        self.removed_s = removed_s


class HostTable:
    """Hold the rows by host id and the number of the last change.

    digests holds one number for each bucket of hosts. Two tables with the
    same public fields have the same digests, so that processes that exchange
    records for the first time send only the buckets in which they differ.
    """

    __slots__ = (
        'change_number',
        'digests',
        'last_sweep_s',
        'rows',
        'table_id',
        'tombstones',
    )

    def __init__(self, table_id: int, now_s: float) -> None:
        self.table_id = table_id
        self.change_number = 0
        self.digests = empty_digests()
        self.rows: dict[str, HostRow] = {}
        self.tombstones: dict[str, Tombstone] = {}
        self.last_sweep_s = now_s


def copy_host(host: Host, **changes: object) -> Host:
    """Return a copy of a host with the given fields changed."""
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
    """Set the host of a row; peers pull it if a public field changed."""
    changed = any(
        getattr(host, name) != getattr(row.host, name)
        for name in _PUBLIC_FIELDS
    )
    row.host = host
    if changed:
        mark_changed(table, row)


def mark_changed(table: HostTable, row: HostRow) -> None:
    """Give the row a new change number, so that peers pull it again."""
    table.change_number += 1
    row.change_number = table.change_number
    digest = _digest(row.host)
    table.digests[row.bucket] ^= row.digest ^ digest
    row.digest = digest


def is_leaving(host: Host) -> bool:
    """Return whether the record has the state `leaving`."""
    return host.state == names.HOST_LEAVING


def effective_hosts(table: HostTable) -> list[Host]:
    """Return all hosts with the states that apply to routing.

    A host that the host list marks as leaving is leaving, whatever it
    reports itself.
    """
    return [_with_effective_state(row) for row in table.rows.values()]


def live_entry_hosts(table: HostTable) -> Iterator[Host]:
    """Iterate over the entry hosts that peers may call."""
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
    """Remove a row; peers are not notified, each removes it by itself."""
    table.rows.pop(row.host.host_id)
    table.digests[row.bucket] ^= row.digest
    table.change_number += 1


def empty_digests() -> list[int]:
    """Return the digests of a table without hosts."""
    return [0 for _ in range(const.SYNC_BUCKETS)]


def _digest(host: Host) -> int:
    fields = [str(getattr(host, name)) for name in _PUBLIC_FIELDS]
    # Thrift has only signed 64-bit integers; the shift keeps it positive.
    return rank_of(host.host_id, *fields) >> 1


def _with_effective_state(row: HostRow) -> Host:
    if row.listed_state != names.HOST_LEAVING or is_leaving(row.host):
        return row.host
    return copy_host(row.host, state=names.HOST_LEAVING)
