"""Which report about a host replaces which; no I/O."""

from collections.abc import Iterable

from apricotpin import const as names
from apricotpin.components.members.table import (
    Row,
    Table,
    add_row,
    copy_host,
    is_leaving,
    store,
    touch,
)
from apricotpin.messages.hosts import Host
from apricotpin.messages.members import ListedHost


def note_heartbeat(table: Table, host: Host, now_s: float) -> None:
    """Take over a heartbeat that this process received."""
    table.removed.pop(host.host_id, None)
    row = table.rows.get(host.host_id)
    if row is None:
        row = add_row(table, host, now_s)
    if not _is_late(host, row.host):
        row.heard_s = now_s
        row.seen_s = now_s
        store(table, row, _keep_leaving(host, row.host))


def note_gossip(table: Table, host: Host, now_s: float) -> None:
    """Take over a record that another entry host has changed."""
    removed = table.removed.get(host.host_id)
    if removed is not None and host.incarnation <= removed.incarnation:
        return
    row = table.rows.get(host.host_id)
    if row is None:
        add_row(table, host, now_s)
        return
    known = row.host
    if host.incarnation > known.incarnation:
        _replace(table, row, host, now_s)
    elif host.incarnation == known.incarnation:
        _merge_same_incarnation(table, row, host, now_s)


def note_list(
    table: Table,
    entries: Iterable[ListedHost],
    now_s: float,
) -> None:
    """Take over the platform's host list."""
    listed_ids = set()
    for entry in entries:
        listed_ids.add(entry.host.host_id)
        _note_listed(table, entry, now_s)
    for host_id, row in table.rows.items():
        if row.listed and host_id not in listed_ids:
            _note_delisted(table, row, now_s)


def note_self(table: Table, host: Host, now_s: float) -> None:
    """Put this process's own record into the table."""
    row = table.rows.get(host.host_id)
    if row is None:
        row = add_row(table, host, now_s)
    row.seen_s = now_s
    if host.incarnation >= row.host.incarnation:
        store(table, row, _keep_leaving(host, row.host))


def _is_late(host: Host, known: Host) -> bool:
    if host.incarnation != known.incarnation:
        return host.incarnation < known.incarnation
    late = host.heartbeat_count < known.heartbeat_count
    return late and not is_leaving(host)


def _keep_leaving(host: Host, known: Host) -> Host:
    same = host.incarnation == known.incarnation
    if same and is_leaving(known) and not is_leaving(host):
        return copy_host(host, state=names.HOST_LEAVING)
    return host


def _merge_same_incarnation(
    table: Table,
    row: Row,
    host: Host,
    now_s: float,
) -> None:
    known = row.host
    if is_leaving(known):
        return
    if is_leaving(host):
        _replace(table, row, host, now_s)
        return
    if not known.incarnation:
        # Only the host list speaks for a host without an agent.
        return
    if host.heartbeat_count > known.heartbeat_count:
        _replace(table, row, host, now_s)
    elif host.state == names.HOST_SUSPECTED:
        _weigh_suspicion(table, row, host, now_s)


def _weigh_suspicion(
    table: Table,
    row: Row,
    host: Host,
    now_s: float,
) -> None:
    known = row.host
    if host.heartbeat_count == known.heartbeat_count:
        _replace(table, row, host, now_s)
    elif known.state != names.HOST_SUSPECTED:
        # Heard later than the one who suspects: tell the others again.
        touch(table, row)


def _replace(table: Table, row: Row, host: Host, now_s: float) -> None:
    row.seen_s = now_s
    # Another entry host has heard of it later than this one, so this one
    # stops watching until it receives a heartbeat itself.
    row.heard_s = None
    store(table, row, host)


def _note_listed(table: Table, entry: ListedHost, now_s: float) -> None:
    host = entry.host
    row = table.rows.get(host.host_id)
    if row is None:
        table.removed.pop(host.host_id, None)
        row = add_row(table, host, now_s)
    row.seen_s = now_s
    was_listed = row.listed
    row.listed = names.HOST_LEAVING if entry.leaving else names.HOST_LIVE
    if was_listed != row.listed:
        touch(table, row)
    if not row.host.incarnation:
        store(table, row, _keep_leaving(host, row.host))
    if entry.leaving and was_listed != names.HOST_LEAVING:
        # The incarnation that was running when the list changed leaves; a
        # later one is not bound by a list that lags behind its start.
        store(table, row, copy_host(row.host, state=names.HOST_LEAVING))


def _note_delisted(table: Table, row: Row, now_s: float) -> None:
    row.listed = ''
    row.seen_s = now_s
    if row.heard_s is None and not is_leaving(row.host):
        store(table, row, copy_host(row.host, state=names.HOST_SUSPECTED))
