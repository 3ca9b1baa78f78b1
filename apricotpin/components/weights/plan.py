"""Target version and source hosts, from configuration and host list."""

from typing import Final

from apricotpin.components.weights.topology import Topology, TreeSettings
from apricotpin.const import (
    HOST_LIVE,
    HOST_SUSPECTED,
    HOST_SWITCHING,
    ROLE_AGENT,
)
from apricotpin.messages.document import (
    ConfigChanged,
    Document,
    ModelTarget,
    WeightsConfig,
)
from apricotpin.messages.hosts import Host
from apricotpin.settings import Settings

# A suspected host stays in the trees: its children detect a failed source by
# themselves, and a change of the list would move hosts between the groups of
# all stripes.
_SOURCE_STATES: Final = (HOST_LIVE, HOST_SWITCHING, HOST_SUSPECTED)


class DistributionPlan:
    """Track the configuration in force and the hosts of the same model."""

    __slots__ = (
        '_document',
        '_known_hosts',
        '_own_host',
        '_service',
        '_source_hosts',
        'fencing_number',
        'host_id',
        'target',
    )

    def __init__(self, settings: Settings) -> None:
        self.host_id = settings.host_id
        self.fencing_number = 0
        self.target: ModelTarget | None = None
        self._service = settings.service
        self._document: Document | None = None
        self._known_hosts: list[Host] = []
        self._own_host = Host(
            settings.host_id,
            role=ROLE_AGENT,
            region=settings.region,
            peer_address=settings.advertise,
            service_name=settings.service,
            state=HOST_LIVE,
        )
        self._source_hosts = {settings.host_id: self._own_host}

    @property
    def stripes(self) -> int:
        """Return the number of stripes, 1 before the first configuration."""
        return self._document.weights.stripes if self._document else 1

    @property
    def window_chunks(self) -> int:
        """Return how many fetches each stripe may have in progress."""
        return self._document.weights.window_chunks

    @property
    def stall_s(self) -> float:
        """Return the time without progress after which a stripe is stalled."""
        return self._document.weights.stall_s

    def apply_config(self, message: ConfigChanged) -> bool:
        """Apply a configuration; return whether its weights settings differ."""
        before = self._document
        self._document = message.document
        self.fencing_number = message.accepted_offset
        self.target = _service_target(message.document, self._service)
        self._source_hosts = self._find_source_hosts()
        if before is None:
            return True
        return _field_values(before.weights) != _field_values(
            message.document.weights
        )

    def update_hosts(self, hosts: list[Host]) -> bool:
        """Update the host list; return whether the source hosts differ."""
        before = self._source_hosts
        self._known_hosts = hosts
        self._source_hosts = self._find_source_hosts()
        return _placements(before) != _placements(self._source_hosts)

    def topology(self) -> Topology | None:
        """Compute the trees; return None if there is no target version."""
        if self.target is None:
            return None
        return Topology(
            TreeSettings.from_config(self._document.weights),
            f'{self.target.name}/{self.target.version}',
            self._source_hosts.values(),
        )

    def _find_source_hosts(self) -> dict[str, Host]:
        hosts = {
            host.host_id: host
            for host in self._known_hosts
            if host.state in _SOURCE_STATES and self._has_model(host)
        }
        hosts[self.host_id] = self._own_host
        return hosts

    def _has_model(self, host: Host) -> bool:
        if self._document is None or self.target is None:
            return False
        target = _service_target(self._document, host.service_name)
        return target is not None and target.name == self.target.name


def _service_target(
    document: Document, service_name: str
) -> ModelTarget | None:
    service = document.services.get(service_name)
    return document.models.get(service.model) if service else None


def _field_values(config: WeightsConfig) -> list[object]:
    return [getattr(config, name) for name in config.__slots__]


def _placements(hosts: dict[str, Host]) -> dict[str, tuple[str, str]]:
    return {
        host_id: (host.region, host.peer_address)
        for host_id, host in hosts.items()
    }
