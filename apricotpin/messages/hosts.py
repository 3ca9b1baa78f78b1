"""Messages about hosts and their liveness."""


class Host:
    """Describe a host as it is stored in the members table."""

    __slots__ = (
        'config_offset',
        'data_centre',
        'heartbeat_count',
        'host_id',
        'in_flight',
        'incarnation',
        'model',
        'peer_address',
        'region',
        'role',
        'service_name',
        'state',
        'upstream_address',
        'version',
    )

    def __init__(
        self,
        host_id: str,
        role: str = '',
        region: str = '',
        data_centre: str = '',
        peer_address: str = '',
        upstream_address: str = '',
        service_name: str = '',
        state: str = '',
        incarnation: int = 0,
        model: str = '',
        version: str = '',
        config_offset: int = 0,
        in_flight: int = 0,
        heartbeat_count: int = 0,
    ) -> None:
        self.host_id = host_id
        self.role = role
        self.region = region
        self.data_centre = data_centre
        self.peer_address = peer_address
        self.upstream_address = upstream_address
        self.service_name = service_name
        self.state = state
        self.incarnation = incarnation
        self.model = model
        self.version = version
        self.config_offset = config_offset
        self.in_flight = in_flight
        self.heartbeat_count = heartbeat_count


class Heartbeat:
    """Report the state of the sending host."""

    __slots__ = ('host',)

    def __init__(
        self,
        host: Host,
    ) -> None:
        self.host = host


class HeartbeatAnswer:
    """Report to the sender which configuration the receiver uses."""

    __slots__ = (
        'accepted_offset',
        'folded_offset',
    )

    def __init__(
        self,
        accepted_offset: int,
        folded_offset: int,
    ) -> None:
        self.accepted_offset = accepted_offset
        self.folded_offset = folded_offset


class SyncHosts:
    """Ask for the host records changed since a change number of a table.

    A process that has no change number yet sends digests of its table
    instead.
    """

    __slots__ = (
        'digests',
        'since',
        'table_id',
    )

    def __init__(
        self,
        since: int,
        table_id: int,
        digests: list[int],
    ) -> None:
        self.since = since
        self.table_id = table_id
        self.digests = digests


class HostChanges:
    """Return changed host records and the change number to start from next.

    The offsets tell which configuration the replying host uses.
    """

    __slots__ = (
        'accepted_offset',
        'folded_offset',
        'hosts',
        'next_since',
        'table_id',
    )

    def __init__(
        self,
        next_since: int,
        table_id: int,
        hosts: list[Host],
        accepted_offset: int = -1,
        folded_offset: int = 0,
    ) -> None:
        self.next_since = next_since
        self.table_id = table_id
        self.hosts = hosts
        self.accepted_offset = accepted_offset
        self.folded_offset = folded_offset


class HostsChanged:
    """Announce the hosts known from now on."""

    __slots__ = ('hosts',)

    def __init__(self, hosts: list[Host]) -> None:
        self.hosts = hosts


class GetReadiness:
    """Ask whether the process is ready, and what it serves."""

    __slots__ = ()


class Readiness:
    """Report whether the process is ready, and what it serves."""

    __slots__ = (
        'config_offset',
        'host_id',
        'ready',
        'reason',
        'state',
        'version',
    )

    def __init__(
        self,
        host_id: str,
        ready: bool,
        reason: str,
        state: str,
        version: str,
        config_offset: int,
    ) -> None:
        self.host_id = host_id
        self.ready = ready
        self.reason = reason
        self.state = state
        self.version = version
        self.config_offset = config_offset
