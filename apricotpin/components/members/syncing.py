"""Selection of the host records that a pulling peer receives; no I/O."""

from apricotpin.components.members import const
from apricotpin.components.members.table import (
    HostRow,
    HostTable,
    empty_digests,
)
from apricotpin.messages.hosts import HostChanges, SyncHosts


def changes_since(table: HostTable, request: SyncHosts) -> HostChanges:
    """Return records that a peer lacks, at most SYNC_RECORDS_MAX of them.

    These are the records changed since the change number in the request. If
    the peer has no valid change number of this table, they are the records
    of the buckets whose digests differ.
    """
    is_known_table = request.table_id == table.table_id
    if not is_known_table or not 0 <= request.since <= table.change_number:
        return _differing_buckets(table, request.digests)
    if request.since == table.change_number:
        return HostChanges(table.change_number, table.table_id, [])
    changed = sorted(
        (
            row
            for row in table.rows.values()
            if row.change_number > request.since
        ),
        key=lambda row: row.change_number,
    )
    page = changed[: const.SYNC_RECORDS_MAX]
    is_complete = len(page) == len(changed)
    next_since = table.change_number if is_complete else page[-1].change_number
    return _host_changes(table, page, next_since)


def _differing_buckets(table: HostTable, digests: list[int]) -> HostChanges:
    peer_digests = digests or empty_digests()
    differing = [
        row
        for row in table.rows.values()
        if table.digests[row.bucket] != peer_digests[row.bucket]
    ]
    if len(differing) <= const.SYNC_RECORDS_MAX:
        return _host_changes(table, differing, table.change_number)
    # Complete buckets come first, so that their digests are equal in the
    # next pull of the peer.
    differing.sort(key=lambda row: row.bucket)
    return _host_changes(
        table, differing[: const.SYNC_RECORDS_MAX], const.NO_CHANGE_NUMBER
    )


def _host_changes(
    table: HostTable, rows: list[HostRow], next_since: int
) -> HostChanges:
    hosts = [row.host for row in rows]
    return HostChanges(next_since, table.table_id, hosts)
