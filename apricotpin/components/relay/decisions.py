"""Decide from whom an entry host fetches weights."""

from apricotpin.components.relay.const import MANIFEST_INDEX, ORIGIN
from apricotpin.helpers.stripes import source_order
from apricotpin.messages.feeds import EntryHost


def sources_of(
    own: EntryHost,
    hosts: tuple[EntryHost, ...],
    origin_data_centre: str,
    key: str,
    agents: tuple[str, ...] = (),
) -> list[str]:
    """Return addresses to fetch from, best first; the origin is ''.

    All hosts compute the same order, so that one fetches from the origin,
    one of each data centre from that one, and the others from their own
    data centre's. A host before this one in the order may have failed, so
    the origin follows, and after it the hosts that may hold what the origin
    no longer delivers. Agents of the data centre whose workers hold the
    weights come before other data centres, whose links all traffic shares.
    """
    chain = chain_of(hosts, origin_data_centre, key)
    near = [host for host in chain if host.data_centre == own.data_centre]
    before_near = _before(own, near)
    at_origin = [
        host for host in chain if host.data_centre == origin_data_centre
    ]
    at_root = at_origin or chain
    before_root = _before(own, at_root)
    order = [host.peer_address for host in before_near]
    order.extend(agents)
    order.extend(
        host.peer_address
        for host in before_root
        if host.peer_address not in order
    )
    others = [
        host.peer_address
        for host in chain
        if host.peer_address not in order and host.host_id != own.host_id
    ]
    return [*order, ORIGIN, *others]


def share_out(agents: tuple[str, ...], index: int) -> tuple[str, ...]:
    """Return the agents to ask for a piece, a different one for the next.

    They hold pieces only, so none is asked for the manifest.
    """
    if index == MANIFEST_INDEX or not agents:
        return ()
    first = index % len(agents)
    return agents[first:] + agents[:first]


def may_wait(sources: list[str], source: str) -> bool:
    """Tell whether a source fetches for this host what it does not hold.

    Hosts after the origin are asked only for what they hold, since they may
    fetch from this one.
    """
    return sources.index(source) < sources.index(ORIGIN)


def chain_of(
    hosts: tuple[EntryHost, ...],
    origin_data_centre: str,
    key: str,
) -> list[EntryHost]:
    """Return hosts in the order in which they are asked for a key."""
    by_id = {host.host_id: host for host in hosts}
    places = sorted({host.data_centre for host in hosts})
    places.sort(key=lambda place: place != origin_data_centre)
    return [
        by_id[name]
        for place in places
        for name in source_order(
            key,
            [host.host_id for host in hosts if host.data_centre == place],
        )
    ]


def leads(own: EntryHost, chain: list[EntryHost]) -> bool:
    """Tell whether this host fetches a version for its data centre."""
    near = [host for host in chain if host.data_centre == own.data_centre]
    return bool(near) and near[0].host_id == own.host_id


def _before(own: EntryHost, order: list[EntryHost]) -> list[EntryHost]:
    """Return the hosts before this one; all of them if it is not listed."""
    ids = [host.host_id for host in order]
    if own.host_id not in ids:
        return order
    return order[: ids.index(own.host_id)]
