"""What the configuration and the host list ask of this host."""

from typing import Final

from apricotpin.components.weights.topology import Shape, Topology
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

# A suspected host keeps its place: its children notice a failed source by
# themselves, and a change of the list moves every group of every stripe.
_SOURCE_STATES: Final = (HOST_LIVE, HOST_SWITCHING, HOST_SUSPECTED)


class Plan:
    """Hold the configuration in force and the hosts of this model."""

    __slots__ = (
        '_document',
        '_hosts',
        '_known_hosts',
        '_own_host',
        '_service',
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
        self._hosts = {settings.host_id: self._own_host}

    @property
    def stripes(self) -> int:
        """Return the number of stripes, 1 before there is a configuration."""
        return self._document.weights.stripes if self._document else 1

    @property
    def window_chunks(self) -> int:
        """Return how many requests a stripe keeps outstanding."""
        return self._document.weights.window_chunks

    @property
    def stall_s(self) -> float:
        """Return the time without progress after which a source is late."""
        return self._document.weights.stall_s

    def change_config(self, message: ConfigChanged) -> bool:
        """Take a configuration; tell whether the distribution differs."""
        before = self._document
        self._document = message.document
        self.fencing_number = message.accepted_offset
        self.target = _target_of(message.document, self._service)
        self._hosts = self._sources()
        if before is None:
            return True
        return _fields(before.weights) != _fields(message.document.weights)

    def change_hosts(self, hosts: list[Host]) -> bool:
        """Take a host list; tell whether the hosts of the model differ."""
        before = self._hosts
        self._known_hosts = hosts
        self._hosts = self._sources()
        return _signature(before) != _signature(self._hosts)

    def topology(self) -> Topology | None:
        """Compute the trees, None if no version is ordered."""
        if self.target is None:
            return None
        return Topology(
            Shape.from_config(self._document.weights),
            f'{self.target.name}/{self.target.version}',
            self._hosts.values(),
        )

    def _sources(self) -> dict[str, Host]:
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
        target = _target_of(self._document, host.service_name)
        return target is not None and target.name == self.target.name


def _target_of(document: Document, service_name: str) -> ModelTarget | None:
    service = document.services.get(service_name)
    return document.models.get(service.model) if service else None


def _fields(config: WeightsConfig) -> list[object]:
    return [getattr(config, name) for name in config.__slots__]


def _signature(hosts: dict[str, Host]) -> dict[str, tuple[str, str]]:
    return {
        host_id: (host.region, host.peer_address)
        for host_id, host in hosts.items()
    }
