"""Decide which entry hosts read the operator's records from the store."""

from apricotpin.components.follower import const
from apricotpin.components.follower.events import STORE
from apricotpin.helpers.hashing import rendezvous_order
from apricotpin.messages.feeds import EntryHost

_READERS_KEY = 'operator'


class ReadState:
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


def is_reader(state: ReadState) -> bool:
    """Tell whether this host is one of those that read for its data centre."""
    own = state.hosts[0] if state.hosts else None
    return own is None or own.host_id in _readers(state)


def reads_itself(state: ReadState, now_s: float) -> bool:
    """Tell whether this host reads the store now."""
    if not state.known or is_reader(state):
        return True
    return lacking_for_s(state, now_s) >= const.READ_AFTER_S


def note_known(state: ReadState, version: int) -> None:
    """Note the desired state that this host has."""
    state.known = version
    state.lacking = {
        heard: since_s
        for heard, since_s in state.lacking.items()
        if heard > version
    }


def note_heard(state: ReadState, version: int, now_s: float) -> None:
    """Note the desired state that another host has."""
    if version > state.known:
        state.lacking.setdefault(version, now_s)


def lacking_for_s(state: ReadState, now_s: float) -> float:
    """Return for how long this host has lacked what another one has."""
    return now_s - min(state.lacking.values(), default=now_s)


def is_wanted_from(state: ReadState, address: str, now_s: float) -> bool:
    """Tell whether to take a newer desired state from a host.

    All hosts hear of a change at once, and most are about to read it: if each
    took it from another one as well, the copies would fill their links.
    """
    if not state.lacking:
        return False
    if state.failing or lacking_for_s(state, now_s) >= const.PEER_AFTER_S:
        return True
    if is_reader(state):
        return False
    # Hosts that do not read are shared out over those that do.
    readers = _readers(state)
    chosen = rendezvous_order(state.hosts[0].host_id, readers)[0]
    return any(
        host.peer_address == address and host.host_id == chosen
        for host in state.hosts
    )


def place_of(state: ReadState, source: str) -> str:
    """Tell from how far a copy came: store, near or far."""
    if source == STORE:
        return STORE
    near = any(
        host.peer_address == source
        and host.data_centre == state.hosts[0].data_centre
        for host in state.hosts
    )
    return 'near' if near else 'far'


def pause_left_s(state: ReadState, now_s: float) -> float:
    """Return how long this host waits before it fetches again."""
    return max(0, state.asked_s + const.FETCH_PAUSE_S - now_s)


def _readers(state: ReadState) -> list[str]:
    own = state.hosts[0]
    near = [
        host.host_id
        for host in state.hosts
        if host.data_centre == own.data_centre
    ]
    return rendezvous_order(_READERS_KEY, near)[: const.READERS]
