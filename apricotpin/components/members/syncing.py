"""Which records a peer that pulls receives; no I/O."""

from apricotpin.components.members import const
from apricotpin.components.members.table import Row, Table, no_digests
from apricotpin.messages.hosts import HostChanges, SyncHosts


def changes_since(table: Table, request: SyncHosts) -> HostChanges:
    """Return the records that a peer lacks, at most SYNC_LIMIT of them.

    These are the records changed since the number in the request, or those
    of differing buckets if the peer does not know a number of this table.
    """
    known = request.table_id == table.table_id
    if not known or not 0 <= request.since <= table.change:
        return _differing(table, request.digests)
    if request.since == table.change:
        return HostChanges(table.change, table.table_id, [])
    changed = sorted(
        (row for row in table.rows.values() if row.change > request.since),
        key=lambda row: row.change,
    )
    part = changed[: const.SYNC_LIMIT]
    complete = len(part) == len(changed)
    next_since = table.change if complete else part[-1].change
    return _answer(table, part, next_since)


def _differing(table: Table, digests: list[int]) -> HostChanges:
    theirs = digests or no_digests()
    differing = [
        row
        for row in table.rows.values()
        if table.digests[row.bucket] != theirs[row.bucket]
    ]
    if len(differing) <= const.SYNC_LIMIT:
        return _answer(table, differing, table.change)
    # Whole buckets first, so that the digests that the peer sends with its
    # next pull no longer differ in them.
    differing.sort(key=lambda row: row.bucket)
    return _answer(table, differing[: const.SYNC_LIMIT], const.NO_POSITION)


def _answer(table: Table, rows: list[Row], next_since: int) -> HostChanges:
    hosts = [row.host for row in rows]
    return HostChanges(next_since, table.table_id, hosts)
