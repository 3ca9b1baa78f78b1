"""Datagrams between entry hosts and agents."""


class WeightsTarget:
    """Name the version that the workers of a service shall hold.

    known_for_ms is how long the sender has known it, -1 if it can't tell.
    """

    __slots__ = ('known_for_ms', 'model', 'service_name', 'version')

    def __init__(
        self,
        service_name: str,
        model: str,
        version: int,
        known_for_ms: int,
    ) -> None:
        self.service_name = service_name
        self.model = model
        self.version = version
        self.known_for_ms = known_for_ms


class PathDelay:
    """Tell how much longer than usual datagrams from a data centre take."""

    __slots__ = ('data_centre', 'delay_ms')

    def __init__(self, data_centre: str, delay_ms: int) -> None:
        self.data_centre = data_centre
        self.delay_ms = delay_ms


class EntryHello:
    """Tell agents and entry hosts where this entry host is reached.

    The workers of a data centre and service switch to a new version in
    groups: group is that of the receiver's worker, and turn the number of
    workers in earlier groups that have not switched to turn_version yet.
    sent_ms is of the sender's clock that counts suspensions, 0 if it is not
    told, and paths what the sender measured of datagrams that reached it.
    """

    __slots__ = (
        'config_version',
        'data_centre',
        'earlier',
        'group',
        'host_id',
        'may_cut',
        'peer_address',
        'sent_ms',
        'targets',
        'turn',
        'turn_version',
        'paths',
    )

    def __init__(
        self,
        host_id: str,
        peer_address: str,
        data_centre: str,
        targets: list[WeightsTarget],
        turn: int = 0,
        group: int = 0,
        config_version: int = 0,
        may_cut: bool = False,
        turn_version: int = 0,
        earlier: list[WeightsTarget] | None = None,
        sent_ms: int = 0,
        paths: list[PathDelay] | None = None,
    ) -> None:
        self.sent_ms = sent_ms
        self.paths = paths or []
        # Versions that the targets replaced; they bound those before them.
        self.earlier = earlier or []
        self.host_id = host_id
        self.peer_address = peer_address
        self.data_centre = data_centre
        self.targets = targets
        self.turn = turn
        self.turn_version = turn_version
        self.group = group
        # Version of the desired state that the sender has in force.
        self.config_version = config_version
        # Whether what runs at the worker may go on at another one.
        self.may_cut = may_cut


class LoadReport:
    """Tell entry hosts what the worker beside an agent does and holds.

    count grows with each report of one start of the agent; switching holds
    from a short time before the worker takes a new version; installing is
    the version that the agent brings to it, 0 if there is none.
    """

    __slots__ = (
        'active',
        'address',
        'count',
        'data_centre',
        'installing',
        'layers_end',
        'layers_start',
        'peer_address',
        'queued',
        'reachable',
        'service_name',
        'started_ms',
        'switching',
        'version',
    )

    def __init__(
        self,
        address: str,
        peer_address: str,
        data_centre: str,
        service_name: str,
        count: int,
        reachable: bool,
        started_ms: int,
        active: int,
        queued: int,
        version: int,
        layers_start: int,
        layers_end: int,
        switching: bool,
        installing: int = 0,
    ) -> None:
        self.address = address
        self.peer_address = peer_address
        self.data_centre = data_centre
        self.service_name = service_name
        self.count = count
        self.reachable = reachable
        self.started_ms = started_ms
        self.active = active
        self.queued = queued
        self.version = version
        self.layers_start = layers_start
        self.layers_end = layers_end
        self.switching = switching
        self.installing = installing


class EntryHostRecordChanged:
    """Announce that an entry host's record was written or dropped."""

    __slots__ = ('host', 'is_listed')

    def __init__(self, host: object, is_listed: bool) -> None:
        self.host = host
        self.is_listed = is_listed


class DeclaredVersionReceived:
    """Tell of a declared version that another entry host knows.

    known_for_s is -1 where it can't tell for how long.
    """

    __slots__ = ('declared_for_s', 'model', 'version')

    def __init__(self, model: str, version: int, declared_for_s: float) -> None:
        self.model = model
        self.version = version
        self.declared_for_s = declared_for_s


class ConfigVersionReceived:
    """Tell that an entry host has a version of the desired state in force."""

    __slots__ = ('peer_address', 'version')

    def __init__(self, peer_address: str, version: int) -> None:
        self.peer_address = peer_address
        self.version = version


class EntryHostsChanged:
    """Announce the entry hosts heard of lately, this one included."""

    __slots__ = ('hosts',)

    def __init__(self, hosts: tuple[object, ...]) -> None:
        self.hosts = hosts


class PathDelaysMeasured:
    """Announce how much longer than usual the path to and from others takes.

    delays_s maps data centres to the delay of both directions together.
    """

    __slots__ = ('delays_s',)

    def __init__(self, delays_s: dict[str, float]) -> None:
        self.delays_s = delays_s


class ReportToEntryHosts:
    """Ask the presence service to report to recorded entry hosts."""

    __slots__ = ('hosts', 'report')

    def __init__(self, hosts: tuple[object, ...], report: LoadReport) -> None:
        self.hosts = hosts
        self.report = report


class CountKnownEntryHosts:
    """Ask how many entry hosts greeted this agent lately."""

    __slots__ = ()


class SendLoadReport:
    """Ask the presence service to send a report on the worker."""

    __slots__ = ('report',)

    def __init__(self, report: LoadReport) -> None:
        self.report = report
