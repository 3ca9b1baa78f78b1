"""Orders for the peer calls of a round; no I/O.

A round takes one heartbeat period.
"""

from collections.abc import Iterable

from apricotpin import const as names
from apricotpin.components.members import const, peer_selection
from apricotpin.components.members.sweeping import expect_heartbeats
from apricotpin.components.members.table import HostTable, live_entry_hosts
from apricotpin.messages.hosts import Heartbeat, Host, HostChanges, SyncHosts
from apricotpin.messages.members import PeerCallOrder


class SyncPosition:
    """Hold the change number up to which a peer's table has been pulled."""

    __slots__ = ('since', 'table_id')

    def __init__(
        self,
        since: int = const.NO_CHANGE_NUMBER,
        table_id: int = 0,
    ) -> None:
        self.since = since
        self.table_id = table_id


class RoundState:
    """Hold the state beside the host table that peer selection depends on.

    backoff_until_s maps the address of a peer to which a call failed to the
    monotonic time from which it may be called again. positions maps the
    address of a peer to the position in its table. local_entry_ids are the
    live entry hosts of this data centre at the last update_monitoring.
    """

    __slots__ = (
        'backoff_until_s',
        'local_entry_ids',
        'positions',
        'round_number',
        'seed_addresses',
    )

    def __init__(self, seeds: Iterable[str]) -> None:
        self.seed_addresses = list(seeds)
        self.round_number = 0
        self.backoff_until_s: dict[str, float] = {}
        self.positions: dict[str, SyncPosition] = {}
        self.local_entry_ids: frozenset[str] = frozenset()


def heartbeat_orders(
    own: Host,
    table: HostTable,
    rounds: RoundState,
    now_s: float,
) -> list[PeerCallOrder]:
    """Return the orders for the heartbeats of this round."""
    return [
        PeerCallOrder(receiver.peer_address, 'heartbeat', Heartbeat(own))
        for receiver in _heartbeat_receivers(own, table, rounds, now_s)
    ]


def pull_orders(
    own: Host,
    table: HostTable,
    rounds: RoundState,
    now_s: float,
) -> list[PeerCallOrder]:
    """Return the orders for the pulls of this round.

    An entry host pulls from at most two peers, an agent from one.
    """
    if own.role == names.ROLE_AGENT:
        partners = _heartbeat_receivers(own, table, rounds, now_s)[:1]
    else:
        partners = _pull_partners(own, table, rounds, now_s)
    return [_pull_order(partner, table, rounds) for partner in partners]


def record_pull(rounds: RoundState, address: str, changes: HostChanges) -> None:
    """Record the position up to which a peer's table was pulled."""
    rounds.positions[address] = SyncPosition(
        changes.next_since, changes.table_id
    )


def record_failure(rounds: RoundState, address: str, now_s: float) -> None:
    """Start the back-off of a peer to which a call failed."""
    rounds.backoff_until_s[address] = now_s + const.PEER_BACKOFF_S


def update_monitoring(
    own: Host,
    table: HostTable,
    rounds: RoundState,
    now_s: float,
) -> None:
    """Monitor the hosts that select this entry host for their heartbeats.

    The monitored hosts are determined again when the entry hosts of the data
    centre change, since all receivers of a host's heartbeats may have failed
    together with the host.
    """
    if own.role != names.ROLE_ENTRY:
        return
    entries = [
        entry
        for entry in live_entry_hosts(table)
        if entry.data_centre == own.data_centre
    ]
    local_entry_ids = frozenset(entry.host_id for entry in entries)
    if local_entry_ids == rounds.local_entry_ids:
        return
    rounds.local_entry_ids = local_entry_ids
    expect_heartbeats(table, _hosts_reporting_to(own, table, entries), now_s)


def _hosts_reporting_to(
    own: Host, table: HostTable, entries: list[Host]
) -> list[str]:
    senders = []
    for host_id, row in table.rows.items():
        if row.host.data_centre != own.data_centre:
            continue
        receivers = peer_selection.heartbeat_receivers(row.host, entries)
        targets = receivers[: const.PEERS_PER_ROUND]
        if any(entry.host_id == own.host_id for entry in targets):
            senders.append(host_id)
    return senders


def _heartbeat_receivers(
    own: Host,
    table: HostTable,
    rounds: RoundState,
    now_s: float,
) -> list[Host]:
    entries = _not_in_backoff(live_entry_hosts(table), rounds, now_s)
    receivers = peer_selection.heartbeat_receivers(own, entries)
    if not receivers:
        receivers = _seed_hosts(own, rounds, now_s)
    return receivers[: const.PEERS_PER_ROUND]


def _pull_partners(
    own: Host,
    table: HostTable,
    rounds: RoundState,
    now_s: float,
) -> list[Host]:
    entries = _not_in_backoff(live_entry_hosts(table), rounds, now_s)
    by_host_id = {}
    for task_index in range(const.PEERS_PER_ROUND):
        partner = peer_selection.pull_partner(
            own, entries, task_index, rounds.round_number
        )
        if partner is not None:
            by_host_id[partner.host_id] = partner
    if by_host_id:
        return list(by_host_id.values())
    return _seed_hosts(own, rounds, now_s)[: const.PEERS_PER_ROUND]


def _not_in_backoff(
    entries: Iterable[Host],
    rounds: RoundState,
    now_s: float,
) -> list[Host]:
    return [
        entry
        for entry in entries
        if rounds.backoff_until_s.get(entry.peer_address, 0) <= now_s
    ]


def _seed_hosts(own: Host, rounds: RoundState, now_s: float) -> list[Host]:
    seeds = [
        Host(address, peer_address=address)
        for address in rounds.seed_addresses
        if address != own.peer_address
    ]
    return _not_in_backoff(seeds, rounds, now_s)


def _pull_order(
    partner: Host, table: HostTable, rounds: RoundState
) -> PeerCallOrder:
    address = partner.peer_address
    position = rounds.positions.get(address, SyncPosition())
    digests = table.digests if position.since == const.NO_CHANGE_NUMBER else []
    request = SyncHosts(position.since, position.table_id, list(digests))
    return PeerCallOrder(address, 'sync_hosts', request)
