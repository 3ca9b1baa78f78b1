"""Choose the peers of each heartbeat and pull; no I/O."""

from collections.abc import Iterable

from apricotpin.components.members import const
from apricotpin.helpers.hashing import rank_of
from apricotpin.messages.hosts import Host


def heartbeat_receivers(sender: Host, entries: Iterable[Host]) -> list[Host]:
    """Return entry hosts by falling preference for a sender's heartbeats.

    Those of the sender's data centre come first, then those of its region;
    within each by rendezvous hash, so that all hosts agree on the choice.
    """

    others = [entry for entry in entries if entry.host_id != sender.host_id]
    near = [
        entry for entry in others if entry.data_centre == sender.data_centre
    ]
    if len(near) >= const.HEARTBEAT_TARGETS:
        others = near

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
    worker: int,
    round_number: int,
) -> Host | None:
    """Return the entry host that an entry host pulls from in this round.

    The hosts of a data centre form a ring, and both workers jump by rotating
    powers of two, so a change reaches n hosts in about log2(n) rounds. Worker 1
    pulls from another data centre now and then.
    """
    centres = _by_data_centre(own, entries)
    ring = centres[own.data_centre]
    # Entry hosts that started together do not all cross in the same round.
    phase = rank_of(own.host_id) % const.CROSS_PULL_EVERY
    crosses = (round_number + phase) % const.CROSS_PULL_EVERY == 0
    if len(ring) > 1 and (worker == 0 or not crosses):
        half = worker * _powers(len(ring)) // 2
        return _jump(ring, own.host_id, round_number + half)
    return _remote_partner(own, centres, round_number)


def _remote_partner(
    own: Host,
    centres: dict[str, list[Host]],
    round_number: int,
) -> Host | None:
    names = sorted(centres)
    if len(names) == 1:
        return None
    # Hosts of a data centre ask different others in the same round.
    turn = round_number // const.CROSS_PULL_EVERY + rank_of(own.host_id)
    place = names.index(own.data_centre)
    remote = centres[names[(place + _step(turn, len(names))) % len(names)]]
    return remote[rank_of(own.host_id) % len(remote)]


def _by_data_centre(
    own: Host,
    entries: Iterable[Host],
) -> dict[str, list[Host]]:
    centres: dict[str, list[Host]] = {own.data_centre: [own]}
    for entry in entries:
        if entry.host_id != own.host_id:
            centres.setdefault(entry.data_centre, []).append(entry)
    for members in centres.values():
        members.sort(key=lambda host: host.host_id)
    return centres


def _jump(ring: list[Host], host_id: str, turn: int) -> Host:
    place = [host.host_id for host in ring].index(host_id)
    return ring[(place + _step(turn, len(ring))) % len(ring)]


def _step(turn: int, size: int) -> int:
    return 1 << turn % _powers(size)


def _powers(size: int) -> int:
    return max(1, (size - 1).bit_length())
