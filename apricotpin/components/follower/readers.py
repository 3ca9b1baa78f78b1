"""Decide which entry hosts read the operator's records from the store."""

from apricotpin.components.follower import const
from apricotpin.components.follower.events import STORE
from apricotpin.helpers.hashing import rendezvous_order
from apricotpin.messages.feeds import EntryHost

_READERS_KEY = 'operator'
# How far a host is from which a copy comes.
NEAR = 'near'
FAR = 'far'


class ReadState:
    """Hold who is there and how far this host is behind; times are monotonic.

    hosts holds this host first. lacking holds when each version of the
    desired state that this host does not have, nor a newer one, was first
    heard of, and heard who has which of them. asked holds when each host was
    last asked for a copy, and fetching those that have not answered.
    """

    __slots__ = (
        'asked',
        'failing',
        'fetching',
        'heard',
        'hosts',
        'known',
        'lacking',
    )

    def __init__(self) -> None:
        self.hosts: tuple[EntryHost, ...] = ()
        self.known = 0
        self.lacking: dict[int, float] = {}
        self.heard: dict[str, int] = {}
        self.asked: dict[str, float] = {}
        self.fetching: set[str] = set()
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
    turn = _reading_order(state).index(state.hosts[0].host_id) - const.READERS
    after_s = const.READ_AFTER_S + turn * const.READ_STEP_S
    return lacking_for_s(state, now_s) >= after_s


def note_known(state: ReadState, version: int) -> None:
    """Note the desired state that this host has."""
    state.known = max(version, state.known)
    state.lacking = {
        heard: since_s
        for heard, since_s in state.lacking.items()
        if heard > version
    }
    state.heard = {
        address: heard
        for address, heard in state.heard.items()
        if heard > version
    }


def note_heard(
    state: ReadState,
    address: str,
    version: int,
    now_s: float,
) -> None:
    """Note the desired state that another host has."""
    if version > state.known:
        state.lacking.setdefault(version, now_s)
        state.heard[address] = version


def note_hosts(state: ReadState, hosts: tuple[EntryHost, ...]) -> None:
    """Note which entry hosts are there, and forget what others had."""
    state.hosts = hosts
    there = {host.peer_address for host in hosts}
    for table in (state.heard, state.asked):
        for address in table.keys() - there:
            table.pop(address)


def lacking_for_s(state: ReadState, now_s: float) -> float:
    """Return for how long this host has lacked what another one has."""
    return now_s - min(state.lacking.values(), default=now_s)


def is_wanted_from(state: ReadState, address: str, now_s: float) -> bool:
    """Tell whether to take a newer desired state from a host.

    All hosts hear of a change at once, and most are about to read it: if each
    took it from another one as well, the copies would fill their links. Links
    within a data centre are used before those between two.
    """
    if not state.lacking:
        return False
    reads = is_reader(state)
    first = reads or place_of(state, address) == NEAR
    after_s = const.PEER_AFTER_S if first else const.FAR_AFTER_S
    if state.failing or lacking_for_s(state, now_s) >= after_s:
        return True
    if reads:
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
    return NEAR if near else FAR


def choose_source(state: ReadState, now_s: float) -> str | None:
    """Return the host to take a newer desired state from now, if any."""
    if not _may_fetch(state, now_s):
        return None
    found = [
        address
        for address, version in state.heard.items()
        if version > state.known
        and address not in state.fetching
        and is_wanted_from(state, address, now_s)
    ]
    # Who did not bring it the last time is not asked first again.
    return min(
        found,
        key=lambda address: (
            state.asked.get(address, float('-inf')),
            place_of(state, address) == FAR,
            -state.heard[address],
        ),
        default=None,
    )


def note_asked(state: ReadState, address: str, now_s: float) -> None:
    """Note that a host is asked for its desired state."""
    state.asked[address] = now_s
    state.fetching.add(address)


def pause_left_s(state: ReadState, now_s: float) -> float:
    """Return how long this host waits before it fetches again."""
    asked_s = max(state.asked.values(), default=float('-inf'))
    pause_s = const.FETCH_SECOND_S if state.fetching else const.FETCH_PAUSE_S
    return max(0, asked_s + pause_s - now_s)


def _may_fetch(state: ReadState, now_s: float) -> bool:
    if len(state.fetching) >= const.FETCHES_MAX:
        return False
    return not pause_left_s(state, now_s)


def _readers(state: ReadState) -> list[str]:
    return _reading_order(state)[: const.READERS]


def _reading_order(state: ReadState) -> list[str]:
    own = state.hosts[0]
    near = [
        host.host_id
        for host in state.hosts
        if host.data_centre == own.data_centre
    ]
    return rendezvous_order(_READERS_KEY, near)
