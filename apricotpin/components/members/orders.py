"""Decide which peers are called in a round; no I/O."""

from collections.abc import Iterable

from apricotpin import const as names
from apricotpin.components.members import const, plan
from apricotpin.components.members.sweeping import watch
from apricotpin.components.members.table import Table, live_entry_hosts
from apricotpin.messages.hosts import Heartbeat, Host, HostChanges, SyncHosts
from apricotpin.messages.members import PeerCallOrder


class Position:
    """Hold how far the table of a peer has been pulled."""

    __slots__ = ('since', 'table_id')

    def __init__(
        self,
        since: int = const.NO_POSITION,
        table_id: int = 0,
    ) -> None:
        self.since = since
        self.table_id = table_id


class Rounds:
    """Hold what the choice of peers depends on beside the table.

    avoided_until_s maps addresses that did not answer to the time at which
    they may be tried again.
    """

    __slots__ = (
        'avoided_until_s',
        'number',
        'positions',
        'seeds',
        'watching',
    )

    def __init__(self, seeds: Iterable[str]) -> None:
        self.seeds = list(seeds)
        self.number = 0
        self.avoided_until_s: dict[str, float] = {}
        self.positions: dict[str, Position] = {}
        self.watching: frozenset[str] = frozenset()


def heartbeat_orders(
    own: Host,
    known: Table,
    rounds: Rounds,
    now_s: float,
) -> list[PeerCallOrder]:
    """Return the heartbeats of this round."""
    return [
        PeerCallOrder(receiver.peer_address, 'heartbeat', Heartbeat(own))
        for receiver in _receivers(own, known, rounds, now_s)
    ]


def pull_orders(
    own: Host,
    known: Table,
    rounds: Rounds,
    now_s: float,
) -> list[PeerCallOrder]:
    """Return the pulls of this round: two for entry hosts, one for agents."""
    if own.role == names.ROLE_AGENT:
        partners = _receivers(own, known, rounds, now_s)[:1]
    else:
        partners = _partners(own, known, rounds, now_s)
    return [_pull_from(partner, known, rounds) for partner in partners]


def note_pulled(rounds: Rounds, address: str, changes: HostChanges) -> None:
    """Remember the position up to which a peer's table was pulled."""
    rounds.positions[address] = Position(changes.next_since, changes.table_id)


def note_failed(rounds: Rounds, address: str, now_s: float) -> None:
    """Avoid a peer that did not answer."""
    rounds.avoided_until_s[address] = now_s + const.AVOID_S


def update_watch(
    own: Host,
    known: Table,
    rounds: Rounds,
    now_s: float,
) -> None:
    """Watch the hosts that chose this entry host as a receiver.

    Watching starts again when the entry hosts of the data centre change,
    since the receivers of a host may have died together with it.
    """
    if own.role != names.ROLE_ENTRY:
        return
    entries = [
        entry
        for entry in live_entry_hosts(known)
        if entry.data_centre == own.data_centre
    ]
    present = frozenset(entry.host_id for entry in entries)
    if present == rounds.watching:
        return
    rounds.watching = present
    watch(known, _choosers(own, known, entries), now_s)


def _choosers(own: Host, known: Table, entries: list[Host]) -> list[str]:
    chosen_by = []
    for host_id, row in known.rows.items():
        if row.host.data_centre != own.data_centre:
            continue
        receivers = plan.heartbeat_receivers(row.host, entries)
        first = receivers[: const.HEARTBEAT_TARGETS]
        if any(entry.host_id == own.host_id for entry in first):
            chosen_by.append(host_id)
    return chosen_by


def _receivers(
    own: Host,
    known: Table,
    rounds: Rounds,
    now_s: float,
) -> list[Host]:
    entries = _reachable(live_entry_hosts(known), rounds, now_s)
    receivers = plan.heartbeat_receivers(own, entries)
    if not receivers:
        receivers = _seed_hosts(own, rounds, now_s)
    return receivers[: const.HEARTBEAT_TARGETS]


def _partners(
    own: Host,
    known: Table,
    rounds: Rounds,
    now_s: float,
) -> list[Host]:
    entries = _reachable(live_entry_hosts(known), rounds, now_s)
    chosen = {}
    for worker in range(const.HEARTBEAT_TARGETS):
        partner = plan.pull_partner(own, entries, worker, rounds.number)
        if partner is not None:
            chosen[partner.host_id] = partner
    if chosen:
        return list(chosen.values())
    return _seed_hosts(own, rounds, now_s)[: const.HEARTBEAT_TARGETS]


def _reachable(
    entries: Iterable[Host],
    rounds: Rounds,
    now_s: float,
) -> list[Host]:
    return [
        entry
        for entry in entries
        if rounds.avoided_until_s.get(entry.peer_address, 0) <= now_s
    ]


def _seed_hosts(own: Host, rounds: Rounds, now_s: float) -> list[Host]:
    seeds = [
        Host(address, peer_address=address)
        for address in rounds.seeds
        if address != own.peer_address
    ]
    return _reachable(seeds, rounds, now_s)


def _pull_from(partner: Host, known: Table, rounds: Rounds) -> PeerCallOrder:
    address = partner.peer_address
    position = rounds.positions.get(address, Position())
    digests = known.digests if position.since == const.NO_POSITION else []
    request = SyncHosts(position.since, position.table_id, list(digests))
    return PeerCallOrder(address, 'sync_hosts', request)
