"""Topologies of test clusters: hosts, addresses and link parameters."""

from collections.abc import Iterator, Sequence
from typing import Any, Final

from apricotpin.const import ROLE_AGENT, ROLE_ENTRY

PEER_PORT: Final = 20100
ADVERTISED_PORT: Final = 20101
ADMIN_PORT: Final = 20102
UPSTREAM_PORT: Final = 20103
FRONTEND_PORT: Final = 20104
# First of the relay ports to the origin: the host at index N of a topology uses
# the port ORIGIN_RELAY_PORT + N.
ORIGIN_RELAY_PORT: Final = 21000
LOG_PORT: Final = 20001
HOST_LIST_PORT: Final = 20002
ORIGIN_PORT: Final = 20003
LINKS_PORT: Final = 20004


class Host:
    """Describe an entry host, or an agent with its upstream."""

    __slots__ = (
        'checks_fencing',
        'data_centre',
        'host_id',
        'ip',
        'model',
        'region',
        'role',
        'service',
    )

    def __init__(
        self,
        host_id: str,
        ip: str,
        region: str,
        data_centre: str,
        service: str = '',
        model: str = '',
    ) -> None:
        self.host_id = host_id
        self.ip = ip
        self.region = region
        self.data_centre = data_centre
        self.role = ROLE_AGENT if service else ROLE_ENTRY
        self.service = service
        # Empty if the upstream is a plain service.
        self.model = model
        self.checks_fencing = True

    def address(self, port: int) -> str:
        """Return the address ip:port on this host."""
        return f'{self.ip}:{port}'


class LinkRates:
    """Hold the rates of the links and the one-way delays between hosts."""

    __slots__ = (
        'data_centre_delay_s',
        'host_bytes_per_s',
        'origin_bytes_per_s',
        'region_delay_s',
        'shared_bytes_per_s',
    )

    def __init__(
        self,
        host_bytes_per_s: float = 1_000_000,
        origin_bytes_per_s: float = 4_000_000,
        shared_bytes_per_s: float = 1_375_000,
        region_delay_s: float = 0.001,
        data_centre_delay_s: float = 0.003,
    ) -> None:
        self.host_bytes_per_s = host_bytes_per_s
        self.origin_bytes_per_s = origin_bytes_per_s
        self.shared_bytes_per_s = shared_bytes_per_s
        self.region_delay_s = region_delay_s
        self.data_centre_delay_s = data_centre_delay_s


class Topology:
    """Describe the hosts of a cluster and the links between them.

    The net is the first two numbers of all IP addresses, such as 127.20.
    """

    __slots__ = ('hosts', 'net', 'origin_region', 'rates', 'regions', 'site')

    def __init__(
        self,
        site: str,
        net: str,
        hosts: Sequence[Host],
        rates: LinkRates,
    ) -> None:
        self.site = site
        self.net = net
        self.hosts = list(hosts)
        self.rates = rates
        self.regions = list(dict.fromkeys(host.region for host in hosts))
        self.origin_region = self.regions[0]

    @property
    def entries(self) -> list[Host]:
        """Return the entry hosts."""
        return [host for host in self.hosts if host.role == ROLE_ENTRY]

    @property
    def agents(self) -> list[Host]:
        """Return the hosts with an agent and an upstream."""
        return [host for host in self.hosts if host.role == ROLE_AGENT]

    @property
    def replicas(self) -> list[Host]:
        """Return the agents beside a model engine."""
        return [host for host in self.agents if host.model]

    def platform_address(self, port: int) -> str:
        """Return the address ip:port of a stand-in of the platform."""
        return f'{self.net}.0.1:{port}'

    def platform_url(self, port: int) -> str:
        """Return the URL of a stand-in of the platform."""
        return f'http://{self.platform_address(port)}'

    def origin_relay(self, host: Host) -> str:
        """Return the address ip:port of the relay from a host to the origin."""
        return self.platform_address(
            ORIGIN_RELAY_PORT + self.hosts.index(host),
        )


class Site:
    """Name the data centres, the model and the services of a site."""

    __slots__ = ('data_centres', 'model', 'services')

    def __init__(
        self,
        data_centres: Sequence[str],
        model: str,
        services: Sequence[tuple[str, int]],
    ) -> None:
        self.data_centres = data_centres
        # The model is also the name of the service that serves it.
        self.model = model
        # Pairs of a service and its number of workers, the model first.
        self.services = services


SITES: Final = {
    'karatsu': Site(
        ('genkai', 'ariake', 'satsuma'),
        'canoe-advice',
        (('canoe-advice', 6), ('orders', 3), ('harbour', 1)),
    ),
    'qalem': Site(
        ('addis', 'amhara', 'oromia'),
        'letter-drafting',
        (('letter-drafting', 6), ('fees', 3), ('administration', 1)),
    ),
}
# One-way delay between data centres of each site.
_DATA_CENTRE_DELAY_S: Final = {'karatsu': 0.0035, 'qalem': 0.003}


def site_topology(
    site_name: str,
    net: str = '127.20',
    entries: int = 7,
) -> Topology:
    """Return the topology of a site, in which each data centre is a region.

    Entry hosts and the workers of each service are assigned to the data
    centres in turn. Every third engine ignores fencing numbers.
    """
    site = SITES[site_name]
    host_counts = [('', entries), *site.services]
    hosts: list[Host] = []
    for service, count in host_counts:
        for index in range(count):
            position = index % len(site.data_centres)
            data_centre = site.data_centres[position]
            host_id = f'{service or "entry"}-{index + 1}'
            ip = f'{net}.{position + 1}.{len(hosts) + 1}'
            model = site.model if service == site.model else ''
            host = Host(host_id, ip, data_centre, data_centre, service, model)
            host.checks_fencing = bool(index % 3)
            hosts.append(host)
    delay_s = _DATA_CENTRE_DELAY_S[site_name]
    rates = LinkRates(data_centre_delay_s=delay_s)
    return Topology(site_name, net, hosts, rates)


def bench_topology(
    agents: int,
    regions: int,
    net: str = '127.20',
    entries_per_region: int = 1,
    model: str = 'model',
) -> Topology:
    """Return a topology of model hosts and entry hosts spread over regions."""
    hosts: list[Host] = []
    for index in range(regions * entries_per_region + agents):
        position = index % regions
        region = f'region-{position + 1}'
        is_entry = index < regions * entries_per_region
        kind = 'entry' if is_entry else 'agent'
        ip = f'{net}.{position + 1}.{index // regions + 1}'
        service = '' if is_entry else model
        host_id = f'{kind}-{index + 1}'
        hosts.append(Host(host_id, ip, region, region, service, service))
    return Topology('bench', net, hosts, LinkRates())


def host_list_of(topology: Topology) -> dict[str, Any]:
    """Return the content of the host list stand-in."""
    return {
        'hosts': [
            {
                'host_id': host.host_id,
                'role': host.role,
                'region': host.region,
                'data_centre': host.data_centre,
                'peer_address': host.address(ADVERTISED_PORT),
                'upstream_address': (
                    host.address(UPSTREAM_PORT) if host.service else ''
                ),
                'service': host.service,
                'state': 'live',
            }
            for host in topology.hosts
        ]
    }


def settings_of(topology: Topology, host: Host) -> dict[str, Any]:
    """Return the settings of the process on a host."""
    settings = {
        'host_id': host.host_id,
        'role': host.role,
        'site': topology.site,
        'region': host.region,
        'data_centre': host.data_centre,
        'peer': {
            'listen': host.address(PEER_PORT),
            'advertise': host.address(ADVERTISED_PORT),
        },
        'admin_listen': host.address(ADMIN_PORT),
        'log_url': topology.platform_url(LOG_PORT),
        'host_list_url': topology.platform_url(HOST_LIST_PORT),
        'seed_peers': [
            entry.address(ADVERTISED_PORT) for entry in topology.entries
        ],
        'grace_s': 5,
    }
    if host.role == ROLE_ENTRY:
        return {**settings, 'frontend_listen': host.address(FRONTEND_PORT)}
    settings['service'] = host.service
    settings['upstream_address'] = host.address(UPSTREAM_PORT)
    settings['origin_urls'] = [f'http://{topology.origin_relay(host)}']
    if host.model:
        settings['engine_url'] = f'http://{host.address(UPSTREAM_PORT)}'
    return settings


def link_plan_of(topology: Topology) -> dict[str, Any]:
    """Return the hosts, ports and rates that the links stand-in simulates."""
    rates = topology.rates
    return {
        'shared_bytes_per_s': rates.shared_bytes_per_s,
        'region_delay_s': rates.region_delay_s,
        'data_centre_delay_s': rates.data_centre_delay_s,
        'hosts': list(_link_hosts(topology)),
        'ports': list(_ports(topology)),
    }


def _link_hosts(topology: Topology) -> Iterator[dict[str, Any]]:
    rates = topology.rates
    for host in topology.hosts:
        yield {
            'host_id': host.host_id,
            'ip': host.ip,
            'region': host.region,
            'data_centre': host.data_centre,
            'up_bytes_per_s': rates.host_bytes_per_s,
            'down_bytes_per_s': rates.host_bytes_per_s,
        }
    yield {
        'host_id': 'origin',
        'ip': f'{topology.net}.0.1',
        'region': topology.origin_region,
        'data_centre': topology.hosts[0].data_centre,
        'up_bytes_per_s': rates.origin_bytes_per_s,
        'down_bytes_per_s': rates.origin_bytes_per_s,
    }


def _ports(topology: Topology) -> Iterator[dict[str, str]]:
    for host in topology.hosts:
        yield {
            'listen': host.address(ADVERTISED_PORT),
            'target': host.address(PEER_PORT),
            'receiver': host.host_id,
        }
        yield {
            'listen': topology.origin_relay(host),
            'target': topology.platform_address(ORIGIN_PORT),
            'receiver': 'origin',
            'sender': host.host_id,
        }
