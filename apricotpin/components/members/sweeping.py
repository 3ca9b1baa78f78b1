"""Suspicion and removal of hosts that are no longer heard of; no I/O."""

from collections.abc import Iterable

from apricotpin import const as names
from apricotpin.components.members import const
from apricotpin.components.members.table import (
    RemovedHost,
    Row,
    Table,
    copy_host,
    remove_row,
    store,
)


def sweep(table: Table, now_s: float, list_is_fresh: bool) -> None:
    """Suspect hosts whose heartbeats are missing, remove vanished ones."""
    paused_s = now_s - table.swept_s - 2 * const.HEARTBEAT_PERIOD_S
    table.swept_s = now_s
    if paused_s > 0:
        # This process was paused; the hosts it watches were not silent.
        _forgive(table, paused_s)
    for row in list(table.rows.values()):
        _suspect_if_silent(table, row, now_s)
        if list_is_fresh and _has_vanished(row, now_s):
            _remove(table, row, now_s)
    _forget_removed(table, now_s)


def watch(table: Table, host_ids: Iterable[str], now_s: float) -> None:
    """Expect heartbeats from hosts that chose this process as receiver."""
    for host_id in host_ids:
        row = table.rows[host_id]
        # Incarnation 0 means that the agent has never been heard of.
        if row.heard_s is None and row.host.incarnation:
            row.heard_s = now_s


def _suspect_if_silent(table: Table, row: Row, now_s: float) -> None:
    if row.heard_s is None or now_s - row.heard_s <= const.SUSPECT_AFTER_S:
        return
    if row.host.state in {names.HOST_LIVE, names.HOST_SWITCHING}:
        store(table, row, copy_host(row.host, state=names.HOST_SUSPECTED))


def _has_vanished(row: Row, now_s: float) -> bool:
    if row.listed:
        return False
    unseen_s = now_s - row.seen_s
    if row.host.state in {names.HOST_SUSPECTED, names.HOST_LEAVING}:
        return unseen_s > const.REMOVE_AFTER_S
    return unseen_s > const.FORGET_AFTER_S


def _remove(table: Table, row: Row, now_s: float) -> None:
    host = row.host
    remove_row(table, row)
    table.removed[host.host_id] = RemovedHost(host.incarnation, now_s)


def _forget_removed(table: Table, now_s: float) -> None:
    oldest_s = now_s - const.REMEMBER_REMOVED_S
    table.removed = {
        host_id: removed
        for host_id, removed in table.removed.items()
        if removed.removed_s > oldest_s
    }


def _forgive(table: Table, paused_s: float) -> None:
    for row in table.rows.values():
        row.seen_s += paused_s
        if row.heard_s is not None:
            row.heard_s += paused_s
