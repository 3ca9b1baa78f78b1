"""Decide which entry hosts read the operator's records from the store."""

from apricotpin.components.follower import const
from apricotpin.helpers.hashing import rendezvous_order
from apricotpin.messages.feeds import EntryHost

_DUTY_KEY = 'operator'


class Duty:
    """Hold who is there and how far this host is behind; times are monotonic.

    hosts holds this host first. lacking holds when each version of the
    desired state that this host does not have, nor a newer one, was first
    heard of.
    """

    __slots__ = ('asked_s', 'failing', 'hosts', 'known', 'lacking')

    def __init__(self) -> None:
        self.hosts: tuple[EntryHost, ...] = ()
        self.known = 0
        self.lacking: dict[int, float] = {}
        self.asked_s = float('-inf')
        # Whether the last read of this host itself failed.
        self.failing = False


def is_reader(duty: Duty) -> bool:
    """Tell whether this host is one of those that read for its data centre."""
    own = duty.hosts[0] if duty.hosts else None
    return own is None or own.host_id in _readers(duty)


def reads_itself(duty: Duty, now_s: float) -> bool:
    """Tell whether this host reads the store now."""
    if not duty.known or is_reader(duty):
        return True
    return lacking_for_s(duty, now_s) >= const.STRANDED_S


def note_known(duty: Duty, version: int) -> None:
    """Note the desired state that this host has."""
    duty.known = version
    duty.lacking = {
        heard: since_s
        for heard, since_s in duty.lacking.items()
        if heard > version
    }


def note_heard(duty: Duty, version: int, now_s: float) -> None:
    """Note the desired state that another host has."""
    if version > duty.known:
        duty.lacking.setdefault(version, now_s)


def lacking_for_s(duty: Duty, now_s: float) -> float:
    """Return for how long this host has lacked what another one has."""
    return now_s - min(duty.lacking.values(), default=now_s)


def is_wanted_from(duty: Duty, address: str, now_s: float) -> bool:
    """Tell whether to take a newer desired state from a host.

    All hosts hear of a change at once, and most are about to read it: if each
    took it from another one as well, the copies would fill their links.
    """
    if not duty.lacking:
        return False
    if duty.failing or lacking_for_s(duty, now_s) >= const.BEHIND_S:
        return True
    if is_reader(duty):
        return False
    # Hosts that do not read are shared out over those that do.
    readers = _readers(duty)
    chosen = rendezvous_order(duty.hosts[0].host_id, readers)[0]
    return any(
        host.peer_address == address and host.host_id == chosen
        for host in duty.hosts
    )


def pause_left_s(duty: Duty, now_s: float) -> float:
    """Return how long this host waits before it fetches again."""
    return max(0, duty.asked_s + const.FETCH_PAUSE_S - now_s)


def _readers(duty: Duty) -> list[str]:
    own = duty.hosts[0]
    near = [
        host.host_id
        for host in duty.hosts
        if host.data_centre == own.data_centre
    ]
    return rendezvous_order(_DUTY_KEY, near)[: const.READERS]
