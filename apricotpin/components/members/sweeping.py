"""Suspicion and removal of hosts without recent reports; no I/O."""

from collections.abc import Iterable

from apricotpin import const as names
from apricotpin.components.members import const
from apricotpin.components.members.table import (
    HostRow,
    HostTable,
    Tombstone,
    copy_host,
    remove_row,
    update_row,
)


def sweep_hosts(table: HostTable, now_s: float, list_is_fresh: bool) -> None:
    """Suspect hosts whose heartbeats are missing; remove unconfirmed ones.

    Hosts are removed only while the host list is fresh, since without it an
    unconfirmed host may still be listed.
    """
    suspended_s = now_s - table.last_sweep_s - 2 * const.HEARTBEAT_PERIOD_S
    table.last_sweep_s = now_s
    if suspended_s > 0:
        # This process was suspended, so missing heartbeats say nothing about
        # the hosts that it monitors.
        _extend_deadlines(table, suspended_s)
    for row in list(table.rows.values()):
        _suspect_if_silent(table, row, now_s)
        if list_is_fresh and _is_removable(row, now_s):
            _remove_host(table, row, now_s)
    _expire_tombstones(table, now_s)


def expect_heartbeats(
    table: HostTable, host_ids: Iterable[str], now_s: float
) -> None:
    """Start to monitor hosts that send their heartbeats to this process."""
    for host_id in host_ids:
        row = table.rows[host_id]
        # Incarnation 0 means that no report of the host's own process has
        # been received yet.
        if row.last_heartbeat_s is None and row.host.incarnation:
            row.last_heartbeat_s = now_s


def _suspect_if_silent(table: HostTable, row: HostRow, now_s: float) -> None:
    if (
        row.last_heartbeat_s is None
        or now_s - row.last_heartbeat_s <= const.SUSPECT_AFTER_S
    ):
        return
    if row.host.state in {names.HOST_LIVE, names.HOST_SWITCHING}:
        update_row(table, row, copy_host(row.host, state=names.HOST_SUSPECTED))


def _is_removable(row: HostRow, now_s: float) -> bool:
    if row.listed_state:
        return False
    unconfirmed_s = now_s - row.last_confirmed_s
    if row.host.state in {names.HOST_SUSPECTED, names.HOST_LEAVING}:
        return unconfirmed_s > const.REMOVE_DOWN_AFTER_S
    return unconfirmed_s > const.REMOVE_LIVE_AFTER_S


def _remove_host(table: HostTable, row: HostRow, now_s: float) -> None:
    host = row.host
    remove_row(table, row)
    table.tombstones[host.host_id] = Tombstone(host.incarnation, now_s)


def _expire_tombstones(table: HostTable, now_s: float) -> None:
    oldest_s = now_s - const.TOMBSTONE_LIFETIME_S
    table.tombstones = {
        host_id: tombstone
        for host_id, tombstone in table.tombstones.items()
        if tombstone.removed_s > oldest_s
    }


def _extend_deadlines(table: HostTable, suspended_s: float) -> None:
    for row in table.rows.values():
        row.last_confirmed_s += suspended_s
        if row.last_heartbeat_s is not None:
            row.last_heartbeat_s += suspended_s
