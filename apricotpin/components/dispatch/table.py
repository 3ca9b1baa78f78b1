"""Table of upstreams with indexes by service and address."""

from collections import defaultdict
from collections.abc import Iterator

from apricotpin.components.dispatch.upstream import Upstream


class UpstreamTable:
    """Hold upstreams by instance, and index them by service and address.

    An upstream is removed before its entry changes, and added again after.
    """

    __slots__ = ('_by_address', '_by_instance', '_by_service')

    def __init__(self) -> None:
        self._by_instance: dict[str, Upstream] = {}
        self._by_service: defaultdict[str, dict[str, Upstream]] = defaultdict(
            dict
        )
        self._by_address: defaultdict[str, dict[str, Upstream]] = defaultdict(
            dict
        )

    def __iter__(self) -> Iterator[Upstream]:
        return iter(self._by_instance.values())

    def add(self, upstream: Upstream) -> None:
        """Add an upstream, in place of one with the same instance id."""
        entry = upstream.entry
        self.remove(entry.instance_id)
        self._by_instance[entry.instance_id] = upstream
        self._by_service[entry.service][entry.instance_id] = upstream
        self._by_address[entry.address][entry.instance_id] = upstream

    def remove(self, instance_id: str) -> Upstream | None:
        """Remove and return an upstream, None if it is not in the table."""
        upstream = self._by_instance.pop(instance_id, None)
        if upstream is None:
            return None
        entry = upstream.entry
        for index, name in (
            (self._by_service, entry.service),
            (self._by_address, entry.address),
        ):
            index[name].pop(instance_id)
            if not index[name]:
                index.pop(name)
        return upstream

    def get(self, instance_id: str) -> Upstream | None:
        """Return an upstream, None if it is not in the table."""
        return self._by_instance.get(instance_id)

    def of_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service."""
        return list(self._by_service.get(service, {}).values())

    def at_address(self, address: str) -> list[Upstream]:
        """Return the upstreams that are listed at an address.

        There may be several for a short time after a worker was replaced.
        """
        return list(self._by_address.get(address, {}).values())
