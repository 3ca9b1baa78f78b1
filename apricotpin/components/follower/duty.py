"""Decide which entry hosts read the operator's records from the store."""

from apricotpin.components.follower import const
from apricotpin.helpers.hashing import rendezvous_order
from apricotpin.messages.feeds import EntryHost

_DUTY_KEY = 'operator'


class Duty:
    """Hold who is there and how far this host is behind; times are monotonic.

    hosts holds this host first. heard is the newest version of the desired
    state that another host has, and behind_s since when this one lacks it,
    None while it does not.
    """

    __slots__ = ('asked_s', 'behind_s', 'failing', 'heard', 'hosts', 'known')

    def __init__(self) -> None:
        self.hosts: tuple[EntryHost, ...] = ()
        self.known = 0
        self.heard = 0
        self.behind_s: float | None = None
        self.asked_s = float('-inf')
        # Whether the last read of this host itself failed.
        self.failing = False


def is_reader(duty: Duty) -> bool:
    """Tell whether this host is one of those that read for its data centre."""
    if not duty.hosts:
        return True
    own = duty.hosts[0]
    near = [
        host.host_id
        for host in duty.hosts
        if host.data_centre == own.data_centre
    ]
    return own.host_id in rendezvous_order(_DUTY_KEY, near)[: const.READERS]


def reads_itself(duty: Duty, now_s: float) -> bool:
    """Tell whether this host reads the store now."""
    if not duty.known or is_reader(duty):
        return True
    behind_s = duty.behind_s
    return behind_s is not None and now_s - behind_s >= const.STRANDED_S


def note_known(duty: Duty, version: int) -> None:
    """Note the desired state that this host has."""
    duty.known = version
    if version >= duty.heard:
        duty.behind_s = None


def note_heard(duty: Duty, version: int, now_s: float) -> None:
    """Note the desired state that another host has."""
    duty.heard = max(duty.heard, version)
    if version > duty.known and duty.behind_s is None:
        duty.behind_s = now_s


def is_wanted_from(duty: Duty, address: str, now_s: float) -> bool:
    """Tell whether to take a newer desired state from a host.

    All hosts hear of a change at once, and most are about to read it: if each
    took it from another one as well, the copies would fill their links.
    """
    if duty.behind_s is None:
        return False
    if duty.failing or now_s - duty.behind_s >= const.BEHIND_S:
        return True
    if is_reader(duty):
        return False
    own = duty.hosts[0]
    return any(
        host.peer_address == address and host.data_centre == own.data_centre
        for host in duty.hosts
    )


def pause_left_s(duty: Duty, now_s: float) -> float:
    """Return how long this host waits before it fetches again."""
    return max(0, duty.asked_s + const.FETCH_PAUSE_S - now_s)
