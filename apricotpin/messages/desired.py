"""The desired state, the operator's configuration, as typed values."""

import enum


class RouteKind(enum.Enum):
    """Name the kinds of routes, which differ in what may be repeated."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


class TrafficSplit:
    """Assign a share of a route's requests to a service by weight."""

    __slots__ = ('service', 'weight')

    def __init__(self, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight


class Route:
    """Map requests of a host name and path prefix to services."""

    __slots__ = (
        'anonymous',
        'event_gap_goal_s',
        'host',
        'kind',
        'latency_goal_s',
        'max_attempts',
        'name',
        'path_prefix',
        'priority',
        'resumable',
        'splits',
        'timeout_s',
    )

    def __init__(
        self,
        name: str,
        host: str,
        path_prefix: str,
        kind: RouteKind,
        splits: tuple[TrafficSplit, ...],
        timeout_s: float,
        latency_goal_s: float,
        event_gap_goal_s: float,
        max_attempts: int,
        priority: int,
        anonymous: bool,
        resumable: bool,
    ) -> None:
        self.name = name
        self.host = host
        self.path_prefix = path_prefix
        self.kind = kind
        self.splits = splits
        self.timeout_s = timeout_s
        self.latency_goal_s = latency_goal_s
        self.event_gap_goal_s = event_gap_goal_s
        self.max_attempts = max_attempts
        self.priority = priority
        self.anonymous = anonymous
        self.resumable = resumable

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


class Engine:
    """Describe the model that the workers of a service run."""

    __slots__ = (
        'chunk_bytes',
        'chunks',
        'layers',
        'model',
        'slots',
        'warm_up_s',
    )

    def __init__(
        self,
        model: str,
        slots: int,
        layers: int,
        chunks: int,
        chunk_bytes: int,
        warm_up_s: float,
    ) -> None:
        self.model = model
        self.slots = slots
        self.layers = layers
        self.chunks = chunks
        self.chunk_bytes = chunk_bytes
        self.warm_up_s = warm_up_s


class ServiceSpec:
    """Describe a service; engine is None if it runs no model.

    origin is the address of the origin of weights if the service is an
    origin, and empty otherwise.
    """

    __slots__ = ('data_centre', 'engine', 'max_connections', 'name', 'origin')

    def __init__(
        self,
        name: str,
        max_connections: int,
        engine: Engine | None = None,
        origin: str = '',
        data_centre: str = '',
    ) -> None:
        self.name = name
        self.max_connections = max_connections
        self.engine = engine
        self.origin = origin
        self.data_centre = data_centre


class Workspace:
    """Describe a workspace by its name, API keys and priority."""

    __slots__ = ('api_keys', 'name', 'priority')

    def __init__(
        self,
        name: str,
        api_keys: tuple[str, ...],
        priority: int | None,
    ) -> None:
        self.name = name
        self.api_keys = api_keys
        self.priority = priority


class CallerLimits:
    """Limit the size of a caller's request and the time for sending it."""

    __slots__ = (
        'body_max_bytes',
        'head_max_bytes',
        'head_timeout_s',
        'idle_timeout_s',
    )

    def __init__(
        self,
        head_max_bytes: int,
        body_max_bytes: int,
        head_timeout_s: float,
        idle_timeout_s: float,
    ) -> None:
        self.head_max_bytes = head_max_bytes
        self.body_max_bytes = body_max_bytes
        self.head_timeout_s = head_timeout_s
        self.idle_timeout_s = idle_timeout_s


class DesiredState:
    """Describe one version of the desired state.

    workspaces is None if requests need no API key.
    """

    __slots__ = ('limits', 'routes', 'services', 'version', 'workspaces')

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[ServiceSpec, ...],
        workspaces: tuple[Workspace, ...] | None,
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = services
        self.workspaces = workspaces
        self.limits = limits


class ModelVersion:
    """Name the version of a model's weights that every worker is to load."""

    __slots__ = ('model', 'version')

    def __init__(self, model: str, version: int) -> None:
        self.model = model
        self.version = version


class DesiredStateChanged:
    """Announce the desired state that applies from now on."""

    __slots__ = ('state',)

    def __init__(self, state: DesiredState) -> None:
        self.state = state


class DesiredStateConfirmed:
    """Announce when a source showed that the state in force is the newest.

    confirmed_s is on the boot-time clock.
    """

    __slots__ = ('confirmed_s',)

    def __init__(self, confirmed_s: float) -> None:
        self.confirmed_s = confirmed_s


class ModelVersionChanged:
    """Announce a declared version of weights and the age of the declaration.

    declared_for_s is a lower bound of the age; a negative value means that
    the age is unknown.
    """

    __slots__ = ('declared_for_s', 'target')

    def __init__(self, target: ModelVersion, declared_for_s: float) -> None:
        self.target = target
        self.declared_for_s = declared_for_s


class EarlierVersionDeclared:
    """Announce the age of the declaration of a version since replaced.

    The version limit of all versions before it is counted from this
    declaration.
    """

    __slots__ = ('declared_for_s', 'target')

    def __init__(self, target: ModelVersion, declared_for_s: float) -> None:
        self.target = target
        self.declared_for_s = declared_for_s
