"""Selection of the peers for heartbeats and pulls; no I/O."""

from collections.abc import Iterable

from apricotpin.components.members import const
from apricotpin.helpers.hashing import rank_of
from apricotpin.messages.hosts import Host


def heartbeat_receivers(sender: Host, entries: Iterable[Host]) -> list[Host]:
    """Return entry hosts for a sender's heartbeats, most preferred first.

    Entry hosts of the sender's data centre come first, then those of its
    region. Each group is sorted by rendezvous hash, so that all hosts arrive
    at the same order. If the data centre has enough entry hosts, only these
    are returned.
    """

    others = [entry for entry in entries if entry.host_id != sender.host_id]
    local = [
        entry for entry in others if entry.data_centre == sender.data_centre
    ]
    if len(local) >= const.PEERS_PER_ROUND:
        others = local

    def preference(entry: Host) -> tuple[bool, bool, int]:
        return (
            entry.data_centre != sender.data_centre,
            entry.region != sender.region,
            rank_of(sender.host_id, entry.host_id),
        )

    return sorted(others, key=preference)


def pull_partner(
    own: Host,
    entries: Iterable[Host],
    task_index: int,
    round_number: int,
) -> Host | None:
    """Return the entry host that an entry host pulls from in this round.

    The entry hosts of a data centre form a ring. Both pull tasks select the
    host at a distance that rotates through the powers of two, half a
    rotation apart, so a change reaches n hosts in about log2(n) rounds.
    Task 1 pulls from another data centre in every
    REMOTE_PULL_INTERVAL_ROUNDS-th round.
    """
    by_data_centre = _by_data_centre(own, entries)
    ring = by_data_centre[own.data_centre]
    # The offset prevents entry hosts that started together from all pulling
    # from other data centres in the same round.
    offset = rank_of(own.host_id) % const.REMOTE_PULL_INTERVAL_ROUNDS
    is_remote_round = (
        round_number + offset
    ) % const.REMOTE_PULL_INTERVAL_ROUNDS == 0
    if len(ring) > 1 and (task_index == 0 or not is_remote_round):
        shift = task_index * _distance_count(len(ring)) // 2
        return _ring_partner(ring, own.host_id, round_number + shift)
    return _remote_partner(own, by_data_centre, round_number)


def _remote_partner(
    own: Host,
    by_data_centre: dict[str, list[Host]],
    round_number: int,
) -> Host | None:
    names = sorted(by_data_centre)
    if len(names) == 1:
        return None
    # The hash makes the hosts of a data centre pull from different data
    # centres in the same round.
    rotation = round_number // const.REMOTE_PULL_INTERVAL_ROUNDS + rank_of(
        own.host_id
    )
    own_index = names.index(own.data_centre)
    remote = by_data_centre[
        names[(own_index + _distance(rotation, len(names))) % len(names)]
    ]
    return remote[rank_of(own.host_id) % len(remote)]


def _by_data_centre(
    own: Host,
    entries: Iterable[Host],
) -> dict[str, list[Host]]:
    by_data_centre: dict[str, list[Host]] = {own.data_centre: [own]}
    for entry in entries:
        if entry.host_id != own.host_id:
            by_data_centre.setdefault(entry.data_centre, []).append(entry)
    for hosts in by_data_centre.values():
        hosts.sort(key=lambda host: host.host_id)
    return by_data_centre


def _ring_partner(ring: list[Host], host_id: str, rotation: int) -> Host:
    own_index = [host.host_id for host in ring].index(host_id)
    return ring[(own_index + _distance(rotation, len(ring))) % len(ring)]


def _distance(rotation: int, size: int) -> int:
    return 1 << rotation % _distance_count(size)


def _distance_count(size: int) -> int:
    return max(1, (size - 1).bit_length())
