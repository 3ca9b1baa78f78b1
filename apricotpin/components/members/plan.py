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

    def preference(entry: Host) -> tuple[bool, bool, int]:
        return (
            entry.data_centre != sender.data_centre,
            entry.region != sender.region,
            rank_of(sender.host_id, entry.host_id),
        )

    others = (entry for entry in entries if entry.host_id != sender.host_id)
    return sorted(others, key=preference)


def pull_partner(
    own: Host,
    entries: Iterable[Host],
    lane: int,
    round_number: int,
) -> Host | None:
    """Return the entry host that an entry host pulls from in this round.

    Lane 0 always pulls from the successor in the ring of its data centre,
    which connects all of them. Lane 1 jumps by rotating powers of two, so a
    change reaches n hosts in about log2(n) rounds, and now and then pulls
    from another data centre.
    """
    centres = _by_data_centre(own, entries)
    ring = centres[own.data_centre]
    crosses = round_number % const.CROSS_PULL_EVERY == 0
    if len(ring) > 1 and (lane == 0 or not crosses):
        jump = 0 if lane == 0 else round_number
        return _jump(ring, own.host_id, jump)
    return _remote_partner(own, centres, round_number)


def _remote_partner(
    own: Host,
    centres: dict[str, list[Host]],
    round_number: int,
) -> Host | None:
    names = sorted(centres)
    if len(names) == 1:
        return None
    turn = round_number // const.CROSS_PULL_EVERY
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
    powers = max(1, (size - 1).bit_length())
    return 1 << turn % powers
