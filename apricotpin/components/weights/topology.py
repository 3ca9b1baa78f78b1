"""Striped trees of sources, computed by each host from its own host list.

The result is a preference only: hosts with different lists lose time, and
digests alone decide whether a chunk is accepted. Every parent stands before
its child in one fixed order of each stripe, whatever hosts are left out, so
hosts with the same list never wait for each other in a circle.
"""

from collections.abc import Iterable, Sequence

from apricotpin.components.weights import const
from apricotpin.helpers.hashing import rank_of
from apricotpin.messages.document import WeightsConfig
from apricotpin.messages.hosts import Host
from apricotpin.messages.transfers import Source


class Shape:
    """Hold the settings that determine the trees."""

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
    def from_config(cls, config: WeightsConfig) -> 'Shape':
        """Build the shape from the configuration document."""
        return cls(
            config.stripes,
            config.origin_copies,
            config.origin_region,
            config.region_order,
        )

    def chain(self, regions: Iterable[str]) -> list[str]:
        """Return the regions in chain order, the origin's region first."""
        listed = list(self.region_order)

        def position(region: str) -> tuple[bool, int, str]:
            known = listed.index(region) if region in listed else len(listed)
            return (region != self.origin_region, known, region)

        return sorted(set(regions), key=position)

    def roots(self, region: str, chain: Sequence[str]) -> int:
        """Return how many hosts of a region are roots of a stripe."""
        home = self.origin_region or chain[0]
        return self.origin_copies if region == home else 1


class Branches:
    """Hold the parents within a region and the hosts that serve the next.

    A host without an entry in parents is a root of the stripe.
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
    """Hold the orders of all stripes and the trees of the full host list."""

    __slots__ = (
        '_chain',
        '_hosts',
        '_left_out',
        '_orders',
        '_regrown',
        '_shape',
        '_trees',
    )

    def __init__(
        self,
        shape: Shape,
        version_key: str,
        hosts: Iterable[Host],
    ) -> None:
        self._shape = shape
        self._hosts = {host.host_id: host for host in hosts}
        self._chain = shape.chain(host.region for host in self._hosts.values())
        self._orders = {
            region: stripe_orders(
                rank_hosts(version_key, self._in_region(region)),
                shape.stripes,
            )
            for region in self._chain
        }
        self._left_out: frozenset[str] = frozenset()
        self._trees = self._grow(self._left_out)
        self._regrown = self._trees

    def source_for(
        self,
        host_id: str,
        stripe: int,
        excluded: frozenset[str],
    ) -> Source:
        """Return the source of a host's stripe, avoiding excluded hosts.

        Only the children of an excluded host get another parent, so a
        failure does not change the trees of everybody else.
        """
        region = self._hosts[host_id].region
        left_out = excluded - {host_id}
        parent_id = self._parent(self._trees, region, stripe, host_id)
        if parent_id in left_out:
            trees = self._trees_without(left_out)
            parent_id = self._parent(trees, region, stripe, host_id)
        if not parent_id:
            return Source(const.SOURCE_ORIGIN)
        return self._peer_source(parent_id, region, stripe)

    def probe_order(self, host_id: str, stripe: int) -> list[Source]:
        """Return all other hosts of the region, likely holders first."""
        region = self._hosts[host_id].region
        return [
            Source(
                const.SOURCE_PROBE,
                other,
                self._hosts[other].peer_address,
            )
            for other in self._orders[region][stripe]
            if other != host_id
        ]

    def _trees_without(self, left_out: frozenset[str]) -> dict[str, Branches]:
        if left_out != self._left_out:
            self._left_out = left_out
            self._regrown = self._grow(left_out)
        return self._regrown

    def _in_region(self, region: str) -> list[str]:
        return [
            host.host_id
            for host in self._hosts.values()
            if host.region == region
        ]

    def _grow(self, left_out: frozenset[str]) -> dict[str, Branches]:
        trees = {}
        for region in self._chain:
            orders = [
                [host_id for host_id in order if host_id not in left_out]
                for order in self._orders[region]
            ]
            if orders[0]:
                roots = self._shape.roots(region, self._chain)
                trees[region] = assign_parents(orders, roots)
        return trees

    def _parent(
        self,
        trees: dict[str, Branches],
        region: str,
        stripe: int,
        host_id: str,
    ) -> str:
        parent_id = trees[region].parents[stripe].get(host_id)
        if parent_id:
            return parent_id
        position = self._chain.index(region)
        earlier = [name for name in self._chain[:position] if name in trees]
        return trees[earlier[-1]].bridges[stripe] if earlier else ''

    def _peer_source(self, parent_id: str, region: str, stripe: int) -> Source:
        parent = self._hosts[parent_id]
        same = parent.region == region
        return Source(
            const.SOURCE_PEER if same else const.SOURCE_REGION,
            parent_id,
            parent.peer_address,
            self._depth(parent_id, stripe) + 1,
        )

    def _depth(self, host_id: str, stripe: int) -> int:
        depth = 0
        while host_id:
            region = self._hosts[host_id].region
            host_id = self._parent(self._trees, region, stripe, host_id)
            depth += 1
        return depth - 1


def rank_hosts(version_key: str, host_ids: Iterable[str]) -> list[str]:
    """Return hosts in an order that depends on the version alone."""
    return sorted(
        host_ids,
        key=lambda host_id: (rank_of(version_key, host_id), host_id),
    )


def stripe_orders(ranked: Sequence[str], stripes: int) -> list[list[str]]:
    """Return for each stripe the order in which hosts become interior.

    The hosts of the stripe's own group come first. Of the others, those last
    in their own groups come first: they have the fewest children there.
    """
    return [_stripe_order(ranked, stripe, stripes) for stripe in range(stripes)]


def assign_parents(orders: Sequence[Sequence[str]], roots: int) -> Branches:
    """Give each host the earliest parent of each stripe with a free slot.

    A host has one slot for each stripe, that is one copy of the model over
    all stripes. In each stripe the next free slot serves the next region.
    """
    slots = dict.fromkeys(orders[0], len(orders))
    parents = []
    bridges = []
    for order in orders:
        parents.append(_parents_in(order, roots, slots))
        bridges.append(_take_slot(order, slots))
    return Branches(parents, bridges)


def _stripe_order(
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
    slots: dict[str, int],
) -> dict[str, str]:
    return {
        host_id: _take_slot(order[:position], slots)
        for position, host_id in enumerate(order)
        if position >= roots
    }


def _take_slot(candidates: Sequence[str], slots: dict[str, int]) -> str:
    """Use a slot of the first candidate that has one, else of the freest."""
    for candidate in candidates:
        if slots[candidate] > 0:
            slots[candidate] -= 1
            return candidate
    freest = max(candidates, key=slots.__getitem__)
    slots[freest] -= 1
    return freest
