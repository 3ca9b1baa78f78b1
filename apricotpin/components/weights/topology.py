"""Striped trees of sources, computed by each host from its own host list.

The trees only say which source a host prefers: different host lists cost time
but not correctness, because a chunk is accepted by its digest alone. Each
stripe has one fixed order of hosts, and a parent always comes before its
children in it, whichever hosts are excluded. So hosts with the same list never
wait for each other in a cycle.
"""

from collections.abc import Iterable, Sequence

from apricotpin.components.weights import const
from apricotpin.helpers.hashing import rank_of
from apricotpin.messages.document import WeightsConfig
from apricotpin.messages.hosts import Host
from apricotpin.messages.transfers import Source


class TreeSettings:
    """Hold the settings that determine the trees of a version."""

    __slots__ = ('origin_copies', 'origin_region', 'region_order', 'stripes')

    def __init__(
        self,
        stripes: int,
        origin_copies: int,
        origin_region: str = '',
        region_order: Sequence[str] = (),
    ) -> None:
        self.stripes = stripes
        self.origin_copies = origin_copies
        self.origin_region = origin_region
        self.region_order = region_order

    @classmethod
    def from_config(cls, config: WeightsConfig) -> 'TreeSettings':
        """Return the tree settings of a configuration document."""
        return cls(
            config.stripes,
            config.origin_copies,
            config.origin_region,
            config.region_order,
        )

    def order_regions(self, regions: Iterable[str]) -> list[str]:
        """Return the regions in the order in which they receive a version.

        The origin's region is the first. The others follow in the order of
        region_order, and those that it does not list come last, by name.
        """
        region_order = list(self.region_order)

        def sort_key(region: str) -> tuple[bool, int, str]:
            order_index = (
                region_order.index(region)
                if region in region_order
                else len(region_order)
            )
            return (region != self.origin_region, order_index, region)

        return sorted(set(regions), key=sort_key)

    def root_count(self, region: str, region_chain: Sequence[str]) -> int:
        """Return how many hosts of a region are roots of a stripe.

        A root fetches from a host of the region before its own, or from the
        origin if there is no such region.
        """
        origin_region = self.origin_region or region_chain[0]
        return self.origin_copies if region == origin_region else 1


class RegionTrees:
    """Hold the tree of each stripe within one region.

    parents maps a host to its parent; a host without an entry is a root.
    bridges names, for each stripe, the host that serves the next region.
    """

    __slots__ = ('bridges', 'parents')

    def __init__(
        self,
        parents: list[dict[str, str]],
        bridges: list[str],
    ) -> None:
        self.parents = parents
        self.bridges = bridges


class Topology:
    """Hold the host order of each stripe and the trees of all regions.

    Beside the trees of the full host list it caches those without the hosts
    that were excluded last.
    """

    __slots__ = (
        '_avoided',
        '_hosts',
        '_reduced_trees',
        '_region_chain',
        '_settings',
        '_stripe_orders',
        '_trees',
    )

    def __init__(
        self,
        settings: TreeSettings,
        version_key: str,
        hosts: Iterable[Host],
    ) -> None:
        self._settings = settings
        self._hosts = {host.host_id: host for host in hosts}
        self._region_chain = settings.order_regions(
            host.region for host in self._hosts.values()
        )
        self._stripe_orders = {
            region: stripe_orders(
                rank_hosts(version_key, self._host_ids_in(region)),
                settings.stripes,
            )
            for region in self._region_chain
        }
        self._avoided: frozenset[str] = frozenset()
        self._trees = self._build_trees(self._avoided)
        self._reduced_trees = self._trees

    def source_for(
        self,
        host_id: str,
        stripe: int,
        excluded: frozenset[str],
    ) -> Source:
        """Return the source of a host's stripe, avoiding excluded hosts.

        Only children of an excluded host get another parent, so a failure
        does not change the source of any other host.
        """
        region = self._hosts[host_id].region
        avoided = excluded - {host_id}
        parent_id = self._parent_of(self._trees, region, stripe, host_id)
        if parent_id in avoided:
            trees = self._trees_avoiding(avoided)
            parent_id = self._parent_of(trees, region, stripe, host_id)
        if not parent_id:
            return Source(const.SOURCE_ORIGIN)
        return self._peer_source(parent_id, region, stripe)

    def probe_order(self, host_id: str, stripe: int) -> list[Source]:
        """Return all other hosts of the region in the order of the stripe.

        Interior hosts come first, since they most likely hold the chunk.
        """
        region = self._hosts[host_id].region
        return [
            Source(
                const.SOURCE_PROBE,
                other,
                self._hosts[other].peer_address,
            )
            for other in self._stripe_orders[region][stripe]
            if other != host_id
        ]

    def _trees_avoiding(
        self, avoided: frozenset[str]
    ) -> dict[str, RegionTrees]:
        if avoided != self._avoided:
            self._avoided = avoided
            self._reduced_trees = self._build_trees(avoided)
        return self._reduced_trees

    def _host_ids_in(self, region: str) -> list[str]:
        return [
            host.host_id
            for host in self._hosts.values()
            if host.region == region
        ]

    def _build_trees(self, avoided: frozenset[str]) -> dict[str, RegionTrees]:
        trees = {}
        for region in self._region_chain:
            orders = [
                [host_id for host_id in order if host_id not in avoided]
                for order in self._stripe_orders[region]
            ]
            if orders[0]:
                roots = self._settings.root_count(region, self._region_chain)
                trees[region] = assign_parents(orders, roots)
        return trees

    def _parent_of(
        self,
        trees: dict[str, RegionTrees],
        region: str,
        stripe: int,
        host_id: str,
    ) -> str:
        parent_id = trees[region].parents[stripe].get(host_id)
        if parent_id:
            return parent_id
        position = self._region_chain.index(region)
        earlier_regions = [
            name for name in self._region_chain[:position] if name in trees
        ]
        return (
            trees[earlier_regions[-1]].bridges[stripe]
            if earlier_regions
            else ''
        )

    def _peer_source(self, parent_id: str, region: str, stripe: int) -> Source:
        parent = self._hosts[parent_id]
        is_same_region = parent.region == region
        return Source(
            const.SOURCE_PEER if is_same_region else const.SOURCE_REGION,
            parent_id,
            parent.peer_address,
            self._depth_of(parent_id, stripe) + 1,
        )

    def _depth_of(self, host_id: str, stripe: int) -> int:
        depth = 0
        while host_id:
            region = self._hosts[host_id].region
            host_id = self._parent_of(self._trees, region, stripe, host_id)
            depth += 1
        return depth - 1


def rank_hosts(version_key: str, host_ids: Iterable[str]) -> list[str]:
    """Return hosts in a pseudo-random order.

    The order depends on the version alone.
    """
    return sorted(
        host_ids,
        key=lambda host_id: (rank_of(version_key, host_id), host_id),
    )


def stripe_orders(ranked: Sequence[str], stripes: int) -> list[list[str]]:
    """Return for each stripe the order in which hosts become interior nodes.

    The ranked hosts are dealt to one group per stripe. The hosts of the
    stripe's own group come first. The others follow in reverse rank, because
    hosts late in their own group have the fewest children there.
    """
    return [_order_hosts(ranked, stripe, stripes) for stripe in range(stripes)]


def assign_parents(
    orders: Sequence[Sequence[str]],
    roots: int,
) -> RegionTrees:
    """Assign each host, per stripe, the earliest host with a free slot.

    A host has as many slots as there are stripes and may use them in any
    stripe, so it uploads one copy of the model in total. In each stripe the
    next free slot serves the next region.
    """
    free_slots = dict.fromkeys(orders[0], len(orders))
    parents = []
    bridges = []
    for order in orders:
        parents.append(_parents_in(order, roots, free_slots))
        bridges.append(_use_slot(order, free_slots))
    return RegionTrees(parents, bridges)


def _order_hosts(
    ranked: Sequence[str],
    stripe: int,
    stripes: int,
) -> list[str]:
    if stripe >= len(ranked):
        start = stripe % len(ranked) if ranked else 0
        return [*ranked[start:], *ranked[:start]]
    group = list(ranked[stripe::stripes])
    others = [
        host_id
        for index, host_id in enumerate(ranked)
        if index % stripes != stripe
    ]
    others.reverse()
    return group + others


def _parents_in(
    order: Sequence[str],
    roots: int,
    free_slots: dict[str, int],
) -> dict[str, str]:
    return {
        host_id: _use_slot(order[:position], free_slots)
        for position, host_id in enumerate(order)
        if position >= roots
    }


def _use_slot(candidates: Sequence[str], free_slots: dict[str, int]) -> str:
    """Use a slot of the first candidate with a free one.

    If none is free, overload the candidate that was overloaded least.
    """
    for candidate in candidates:
        if free_slots[candidate] > 0:
            free_slots[candidate] -= 1
            return candidate
    most_free = max(candidates, key=free_slots.__getitem__)
    free_slots[most_free] -= 1
    return most_free
