"""Decide from where this host gets the desired state.

A few hosts of each data centre, the readers, read the operator's records from
the store. The others fetch them from a host that has them.
"""

from apricotpin.components.follower import const
from apricotpin.components.follower.events import STORE
from apricotpin.helpers.hashing import rendezvous_order
from apricotpin.messages.feeds import EntryHost

_READERS_KEY = 'operator'
_LIST_READERS_KEY = 'upstreams'
# Labels of the metric desired_state_bytes_total for copies from another host:
# of this data centre, and of another one.
NEAR = 'near'
FAR = 'far'


class SourceState:
    """Hold which desired state this host and the other entry hosts have.

    hosts begins with this host. missing_since_s holds each version that is
    newer than own_version, and when this host first learned of it;
    peer_versions holds the newest of these that each peer address has.
    last_fetch_s holds when each peer was last asked for a copy, and
    fetching_from those that have not responded yet. awaited_versions holds the
    version that each peer was asked for, until this host has it. Times are on
    the monotonic clock. list_age_max_s is how old a reader's list of upstreams
    may be, 0 if lists are not shared.
    """

    __slots__ = (
        'awaited_versions',
        'fetching_from',
        'has_read_failed',
        'hosts',
        'last_fetch_s',
        'list_age_max_s',
        'missing_since_s',
        'own_version',
        'peer_versions',
    )

    def __init__(self, list_age_max_s: float = 0) -> None:
        self.list_age_max_s = list_age_max_s
        self.hosts: tuple[EntryHost, ...] = ()
        self.own_version = 0
        self.missing_since_s: dict[int, float] = {}
        self.peer_versions: dict[str, int] = {}
        self.last_fetch_s: dict[str, float] = {}
        self.fetching_from: set[str] = set()
        self.awaited_versions: dict[str, int] = {}
        # Whether this host's last read of the operator's records failed; a
        # successful fetch resets it.
        self.has_read_failed = False


def is_reader(state: SourceState) -> bool:
    """Return whether this host is a reader of its data centre.

    It counts as one while it does not know any hosts, itself included.
    """
    own_host = state.hosts[0] if state.hosts else None
    return own_host is None or own_host.host_id in _reader_ids(state)


def list_sources(state: SourceState) -> tuple[str, ...]:
    """Return the peers that read the list of upstreams for this host.

    There are none if this host reads the store itself: as a reader, or where a
    data centre has few hosts. Each host prefers one of the readers, so that
    their work is distributed.
    """
    if not state.hosts or not state.list_age_max_s:
        return ()
    own_host = state.hosts[0]
    local = {
        host.host_id: host.peer_address
        for host in state.hosts
        if host.data_centre == own_host.data_centre
    }
    if len(local) < const.SHARED_LIST_HOSTS_MIN:
        return ()
    reader_ids = rendezvous_order(_LIST_READERS_KEY, list(local))[
        : const.LIST_READERS_PER_DATA_CENTRE
    ]
    if own_host.host_id in reader_ids:
        return ()
    preferred_ids = rendezvous_order(own_host.host_id, reader_ids)
    return tuple(local[host_id] for host_id in preferred_ids)


def should_read_store(state: SourceState, now_s: float) -> bool:
    """Return whether this host has to read the store now.

    Apart from readers, this holds for hosts without any desired state, and
    for those that have lacked a newer one for too long.
    """
    if not state.own_version or is_reader(state):
        return True
    position = (
        _reading_order(state).index(state.hosts[0].host_id)
        - const.READERS_PER_DATA_CENTRE
    )
    delay_s = const.STORE_READ_DELAY_S + position * const.STORE_READ_STEP_S
    return outdated_for_s(state, now_s) >= delay_s


def record_own_version(state: SourceState, version: int) -> None:
    """Record the version of the desired state that this host has."""
    state.own_version = max(version, state.own_version)
    state.missing_since_s = {
        newer: since_s
        for newer, since_s in state.missing_since_s.items()
        if newer > version
    }
    for versions in (state.peer_versions, state.awaited_versions):
        outdated = [
            address for address, newer in versions.items() if newer <= version
        ]
        for address in outdated:
            versions.pop(address)


def record_peer_version(
    state: SourceState,
    address: str,
    version: int,
    now_s: float,
) -> None:
    """Record that a peer has a version, if that is newer than this host's."""
    if version > state.own_version:
        state.missing_since_s.setdefault(version, now_s)
        state.peer_versions[address] = version


def update_hosts(state: SourceState, hosts: tuple[EntryHost, ...]) -> None:
    """Replace the entry hosts, and drop what is recorded of removed ones."""
    state.hosts = hosts
    addresses = {host.peer_address for host in hosts}
    for by_address in (
        state.peer_versions,
        state.last_fetch_s,
        state.awaited_versions,
    ):
        for address in by_address.keys() - addresses:
            by_address.pop(address)


def outdated_for_s(state: SourceState, now_s: float) -> float:
    """Return for how long this host has lacked a version that a peer has."""
    return now_s - min(state.missing_since_s.values(), default=now_s)


def may_fetch_from(state: SourceState, address: str, now_s: float) -> bool:
    """Return whether to fetch a newer desired state from a peer.

    All hosts learn of a change at once, and most are about to read it. If each
    also fetched it from another host, the copies would fill their links.
    Links within a data centre are used before those between two.
    """
    if not state.missing_since_s:
        return False
    this_is_reader = is_reader(state)
    fetches_early = this_is_reader or source_label(state, address) == NEAR
    delay_s = (
        const.FETCH_DELAY_S if fetches_early else const.REMOTE_FETCH_DELAY_S
    )
    if state.has_read_failed or outdated_for_s(state, now_s) >= delay_s:
        return True
    if this_is_reader:
        return False
    # Each host that is no reader is assigned one, from which it may fetch
    # without a delay. This distributes the hosts over the readers.
    reader_ids = _reader_ids(state)
    assigned_id = rendezvous_order(state.hosts[0].host_id, reader_ids)[0]
    return any(
        host.peer_address == address and host.host_id == assigned_id
        for host in state.hosts
    )


def source_label(state: SourceState, source: str) -> str:
    """Return the metric label of a copy's source: STORE, NEAR or FAR."""
    if source == STORE:
        return STORE
    is_local = any(
        host.peer_address == source
        and host.data_centre == state.hosts[0].data_centre
        for host in state.hosts
    )
    return NEAR if is_local else FAR


def select_source(state: SourceState, now_s: float) -> str | None:
    """Return the peer to fetch a newer desired state from now, if any."""
    if not _may_start_fetch(state, now_s):
        return None
    candidates = [
        address
        for address, version in state.peer_versions.items()
        if version > state.own_version
        and address not in state.fetching_from
        and may_fetch_from(state, address, now_s)
    ]
    # A peer that was asked and did not deliver is not asked again before the
    # others. One that delivered keeps its rank: otherwise a host that fetches
    # often would ask other data centres before its own.
    return min(
        candidates,
        key=lambda address: (
            address in state.awaited_versions,
            source_label(state, address) == FAR,
            state.last_fetch_s.get(address, float('-inf')),
            -state.peer_versions[address],
        ),
        default=None,
    )


def record_fetch(state: SourceState, address: str, now_s: float) -> None:
    """Record the start of a fetch from a peer."""
    state.last_fetch_s[address] = now_s
    state.fetching_from.add(address)
    state.awaited_versions[address] = state.peer_versions.get(address, 0)


def fetch_pause_left_s(state: SourceState, now_s: float) -> float:
    """Return how long this host has to wait before it fetches again."""
    fetched_s = max(state.last_fetch_s.values(), default=float('-inf'))
    pause_s = (
        const.SECOND_FETCH_DELAY_S
        if state.fetching_from
        else const.FETCH_PAUSE_S
    )
    return max(0, fetched_s + pause_s - now_s)


def _may_start_fetch(state: SourceState, now_s: float) -> bool:
    if len(state.fetching_from) >= const.CONCURRENT_FETCHES_MAX:
        return False
    return not fetch_pause_left_s(state, now_s)


def _reader_ids(state: SourceState) -> list[str]:
    return _reading_order(state)[: const.READERS_PER_DATA_CENTRE]


def _reading_order(state: SourceState) -> list[str]:
    """Return the local hosts' IDs in the order in which they read the store.

    It is the same on all hosts that know the same hosts.
    """
    own_host = state.hosts[0]
    local_ids = [
        host.host_id
        for host in state.hosts
        if host.data_centre == own_host.data_centre
    ]
    return rendezvous_order(_READERS_KEY, local_ids)
