"""Decide from which sources an entry host fetches weights."""

from apricotpin.components.relay.const import MANIFEST_INDEX, ORIGIN
from apricotpin.helpers.stripes import source_order
from apricotpin.messages.feeds import EntryHost


def order_sources(
    own_host: EntryHost,
    hosts: tuple[EntryHost, ...],
    origin_data_centre: str,
    key: str,
    agents: tuple[str, ...] = (),
) -> list[str]:
    """Return the addresses to fetch from, best first; the origin is ''.

    All hosts compute the same order, which forms a distribution tree: one
    host fetches from the origin, one host of each other data centre from that
    host, and the others from the one of their own data centre. The origin
    follows these, since they may have failed, and after it come the hosts
    that may hold a version that the origin no longer delivers. Local agents
    whose workers have loaded the version come before other data centres,
    since all traffic shares the links between data centres.
    """
    ordered = order_hosts(hosts, origin_data_centre, key)
    local = [
        host for host in ordered if host.data_centre == own_host.data_centre
    ]
    before_local = _hosts_before(own_host, local)
    at_origin = [
        host for host in ordered if host.data_centre == origin_data_centre
    ]
    root_hosts = at_origin or ordered
    before_root = _hosts_before(own_host, root_hosts)
    preferred = [host.peer_address for host in before_local]
    preferred.extend(agents)
    preferred.extend(
        host.peer_address
        for host in before_root
        if host.peer_address not in preferred
    )
    others = [
        host.peer_address
        for host in ordered
        if host.peer_address not in preferred
        and host.host_id != own_host.host_id
    ]
    return [*preferred, ORIGIN, *others]


def rotate_agents(agents: tuple[str, ...], index: int) -> tuple[str, ...]:
    """Return the agents, starting with a different one for each piece.

    Agents hold pieces only, so none is returned for the manifest.
    """
    if index == MANIFEST_INDEX or not agents:
        return ()
    first = index % len(agents)
    return agents[first:] + agents[:first]


def may_ask_to_wait(sources: list[str], source: str) -> bool:
    """Return whether a source may be asked to wait for a piece it lacks.

    Hosts after the origin are asked only for pieces that they hold, since
    they may fetch from this host.
    """
    return sources.index(source) < sources.index(ORIGIN)


def order_hosts(
    hosts: tuple[EntryHost, ...],
    origin_data_centre: str,
    key: str,
) -> list[EntryHost]:
    """Return the hosts in the order to fetch from them, best first.

    The data centre of the origin comes first, the others by name.
    """
    by_id = {host.host_id: host for host in hosts}
    data_centres = sorted({host.data_centre for host in hosts})
    data_centres.sort(key=lambda data_centre: data_centre != origin_data_centre)
    return [
        by_id[host_id]
        for data_centre in data_centres
        for host_id in source_order(
            key,
            [host.host_id for host in hosts if host.data_centre == data_centre],
        )
    ]


def is_primary(own_host: EntryHost, ordered: list[EntryHost]) -> bool:
    """Return whether this host is the first of its data centre."""
    local = [
        host for host in ordered if host.data_centre == own_host.data_centre
    ]
    return bool(local) and local[0].host_id == own_host.host_id


def _hosts_before(
    own_host: EntryHost, order: list[EntryHost]
) -> list[EntryHost]:
    """Return the hosts before this one, or all if it is not listed."""
    ids = [host.host_id for host in order]
    if own_host.host_id not in ids:
        return order
    return order[: ids.index(own_host.host_id)]
