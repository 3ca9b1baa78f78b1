"""Datagrams between entry hosts and agents, and messages about them."""

from apricotpin.messages.prompts import CrashEvidence


class WeightsTarget:
    """Name the declared version of the weights of a service.

    known_for_ms is how long ago it was declared as far as the sender knows,
    -1 if the sender does not know.
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
    """Report how much longer than usual datagrams from a data centre take."""

    __slots__ = ('data_centre', 'delay_ms')

    def __init__(self, data_centre: str, delay_ms: int) -> None:
        self.data_centre = data_centre
        self.delay_ms = delay_ms


class EntryHello:
    """Carry the address and state of an entry host to agents and entry hosts.

    The workers of a service in a data centre switch to a new version in
    groups. group is the switch group of the receiver's worker, and turn the
    number of workers in earlier groups that still serve a version older than
    turn_version. sent_ms is the sender's boot-time clock, 0 if it was not
    sent. paths holds the delays that the sender measured for datagrams that
    it received. The next hello to the receiver is sent within period_ms, 0 if
    that is not said. evidence holds the crashes of workers on parts of prompts,
    None if none are known. config_age_ms is how long ago the store showed that
    config_version was the newest, -1 if that is not known.
    """

    __slots__ = (
        'config_age_ms',
        'config_version',
        'data_centre',
        'earlier',
        'evidence',
        'group',
        'host_id',
        'may_cut',
        'peer_address',
        'period_ms',
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
        period_ms: int | None = 0,
        evidence: CrashEvidence | None = None,
        config_age_ms: int | None = -1,
    ) -> None:
        # Hosts of earlier versions do not send it.
        self.config_age_ms = -1 if config_age_ms is None else config_age_ms
        self.evidence = evidence
        self.sent_ms = sent_ms
        # Hosts of earlier versions do not send it.
        self.period_ms = period_ms or 0
        self.paths = paths or []
        # Versions that the targets replaced. The version limit of all older
        # versions is counted from their declaration.
        self.earlier = earlier or []
        self.host_id = host_id
        self.peer_address = peer_address
        self.data_centre = data_centre
        self.targets = targets
        self.turn = turn
        self.turn_version = turn_version
        self.group = group
        # Version of the desired state that the sender uses.
        self.config_version = config_version
        # Whether requests in progress at the worker may be cut off, since
        # they can be resumed at another worker.
        self.may_cut = may_cut


class LoadReport:
    """Report the load and the loaded version of the worker beside an agent.

    count grows with each report and starts again when the agent restarts.
    switching becomes true shortly before the worker switches to a new version.
    installing is the version that the agent installs, 0 if there is none.
    leaving is true once the worker has stated that it shuts down.
    """

    __slots__ = (
        'active',
        'address',
        'count',
        'data_centre',
        'installing',
        'layers_end',
        'layers_start',
        'leaving',
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
        leaving: bool = False,
    ) -> None:
        self.leaving = leaving
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
    """Announce that an entry host's record was written or removed."""

    __slots__ = ('host', 'is_listed')

    def __init__(self, host: object, is_listed: bool) -> None:
        self.host = host
        self.is_listed = is_listed


class DeclaredVersionReceived:
    """Report a declared version that another entry host sent in its hello.

    declared_for_s is the age of the declaration, -1 if the sender does not
    know it.
    """

    __slots__ = ('declared_for_s', 'model', 'version')

    def __init__(self, model: str, version: int, declared_for_s: float) -> None:
        self.model = model
        self.version = version
        self.declared_for_s = declared_for_s


class ConfigVersionReceived:
    """Report the version of the desired state that an entry host uses."""

    __slots__ = ('peer_address', 'version')

    def __init__(self, peer_address: str, version: int) -> None:
        self.peer_address = peer_address
        self.version = version


class EntryHostsChanged:
    """Announce the entry hosts with a recent hello, this one included."""

    __slots__ = ('hosts',)

    def __init__(self, hosts: tuple[object, ...]) -> None:
        self.hosts = hosts


class PathDelaysMeasured:
    """Announce the path delays to other data centres.

    A delay is the additional time compared with the usual one. delays_s maps
    data centres to the sum of the delays in both directions.
    """

    __slots__ = ('delays_s',)

    def __init__(self, delays_s: dict[str, float]) -> None:
        self.delays_s = delays_s


class ReportToEntryHosts:
    """Ask the presence service to send a load report to listed entry hosts.

    It is used while no hello was received, so that they send one.
    """

    __slots__ = ('hosts', 'report')

    def __init__(self, hosts: tuple[object, ...], report: LoadReport) -> None:
        self.hosts = hosts
        self.report = report


class CountKnownEntryHosts:
    """Ask from how many entry hosts this agent received a recent hello."""

    __slots__ = ()


class SendLoadReport:
    """Ask the presence service to send a load report to the entry hosts."""

    __slots__ = ('report',)

    def __init__(self, report: LoadReport) -> None:
        self.report = report


class ConfigVersionConfirmed:
    """Report how long ago a version was the newest, as an entry host knows."""

    __slots__ = ('age_s', 'peer_address', 'version')

    def __init__(self, peer_address: str, version: int, age_s: float) -> None:
        self.peer_address = peer_address
        self.version = version
        self.age_s = age_s
