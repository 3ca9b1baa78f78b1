"""Merging of reports about hosts into the host table; no I/O.

Reports come from heartbeats, from records of peers and from the platform's
host list. The state `leaving` is final for an incarnation.
"""

from collections.abc import Iterable

from apricotpin import const as names
from apricotpin.components.members.table import (
    HostRow,
    HostTable,
    add_row,
    copy_host,
    is_leaving,
    mark_changed,
    update_row,
)
from apricotpin.messages.hosts import Host
from apricotpin.messages.members import ListedHost


def apply_heartbeat(table: HostTable, host: Host, now_s: float) -> None:
    """Apply a heartbeat that this process received."""
    table.tombstones.pop(host.host_id, None)
    row = table.rows.get(host.host_id)
    if row is None:
        row = add_row(table, host, now_s)
    if not _is_stale(host, row.host):
        row.last_heartbeat_s = now_s
        row.last_confirmed_s = now_s
        update_row(table, row, _keep_leaving(host, row.host))


def apply_peer_record(table: HostTable, host: Host, now_s: float) -> None:
    """Apply a host record that was pulled from a peer."""
    tombstone = table.tombstones.get(host.host_id)
    if tombstone is not None and host.incarnation <= tombstone.incarnation:
        return
    row = table.rows.get(host.host_id)
    if row is None:
        add_row(table, host, now_s)
        return
    known = row.host
    if host.incarnation > known.incarnation:
        _adopt_record(table, row, host, now_s)
    elif host.incarnation == known.incarnation:
        _merge_same_incarnation(table, row, host, now_s)


def apply_host_list(
    table: HostTable,
    entries: Iterable[ListedHost],
    now_s: float,
) -> None:
    """Apply the platform's host list."""
    listed_ids = set()
    for entry in entries:
        listed_ids.add(entry.host.host_id)
        _apply_listed_host(table, entry, now_s)
    for host_id, row in table.rows.items():
        if row.listed_state and host_id not in listed_ids:
            _apply_unlisted_host(table, row, now_s)


def apply_own_record(table: HostTable, host: Host, now_s: float) -> None:
    """Apply this process's own record."""
    row = table.rows.get(host.host_id)
    if row is None:
        row = add_row(table, host, now_s)
    row.last_confirmed_s = now_s
    if host.incarnation >= row.host.incarnation:
        update_row(table, row, _keep_leaving(host, row.host))


def _is_stale(host: Host, known: Host) -> bool:
    if host.incarnation != known.incarnation:
        return host.incarnation < known.incarnation
    is_older = host.heartbeat_count < known.heartbeat_count
    return is_older and not is_leaving(host)


def _keep_leaving(host: Host, known: Host) -> Host:
    is_same_incarnation = host.incarnation == known.incarnation
    if is_same_incarnation and is_leaving(known) and not is_leaving(host):
        return copy_host(host, state=names.HOST_LEAVING)
    return host


def _merge_same_incarnation(
    table: HostTable,
    row: HostRow,
    host: Host,
    now_s: float,
) -> None:
    known = row.host
    if is_leaving(known):
        return
    if is_leaving(host):
        _adopt_record(table, row, host, now_s)
        return
    if not known.incarnation:
        # Incarnation 0: no process of this host has reported yet, so only
        # the host list states what is known about it.
        return
    if host.heartbeat_count > known.heartbeat_count:
        _adopt_record(table, row, host, now_s)
    elif host.state == names.HOST_SUSPECTED:
        _merge_suspicion(table, row, host, now_s)


def _merge_suspicion(
    table: HostTable,
    row: HostRow,
    host: Host,
    now_s: float,
) -> None:
    known = row.host
    if host.heartbeat_count == known.heartbeat_count:
        _adopt_record(table, row, host, now_s)
    elif known.state != names.HOST_SUSPECTED:
        # This table has a later heartbeat than the peer that suspects the
        # host; mark the row so that peers pull it again.
        mark_changed(table, row)


def _adopt_record(
    table: HostTable, row: HostRow, host: Host, now_s: float
) -> None:
    row.last_confirmed_s = now_s
    # Another entry host has a later report of the host than this one, so
    # this one stops monitoring it until it receives a heartbeat itself.
    row.last_heartbeat_s = None
    update_row(table, row, host)


def _apply_listed_host(
    table: HostTable, entry: ListedHost, now_s: float
) -> None:
    host = entry.host
    row = table.rows.get(host.host_id)
    if row is None:
        table.tombstones.pop(host.host_id, None)
        row = add_row(table, host, now_s)
    row.last_confirmed_s = now_s
    previous_state = row.listed_state
    row.listed_state = names.HOST_LEAVING if entry.leaving else names.HOST_LIVE
    if previous_state != row.listed_state:
        mark_changed(table, row)
    if not row.host.incarnation:
        update_row(table, row, _keep_leaving(host, row.host))
    if entry.leaving and previous_state != names.HOST_LEAVING:
        # The state applies to the incarnation that ran when the list
        # changed. A later incarnation keeps its own state, since the list
        # may not have been updated since its start.
        update_row(table, row, copy_host(row.host, state=names.HOST_LEAVING))


def _apply_unlisted_host(table: HostTable, row: HostRow, now_s: float) -> None:
    row.listed_state = ''
    row.last_confirmed_s = now_s
    if row.last_heartbeat_s is None and not is_leaving(row.host):
        update_row(table, row, copy_host(row.host, state=names.HOST_SUSPECTED))
