"""The desired state of the system as typed values."""

import enum


class RouteKind(enum.Enum):
    """Say what may be repeated on a route."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


class Split:
    """Send a share of a route's requests to a service."""

    __slots__ = ('service', 'weight')

    def __init__(self, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight


class Route:
    """Map requests of a host and path prefix to services."""

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
        splits: tuple[Split, ...],
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
        """Tell whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


class Engine:
    """Describe the model workers of a service."""

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
    """Describe a service; engine is None where it runs no model.

    origin is the address of the origin of weights, if the service is one.
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


class Tenant:
    """Hold a workspace's name and its keys."""

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
    """Bound what a caller may send and how long it may take."""

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
    """Hold one whole desired state.

    tenants is None where requests need no key.
    """

    __slots__ = ('limits', 'routes', 'services', 'tenants', 'version')

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[ServiceSpec, ...],
        tenants: tuple[Tenant, ...] | None,
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = services
        self.tenants = tenants
        self.limits = limits


class ModelVersion:
    """Name the version of a model's weights that every worker shall hold."""

    __slots__ = ('model', 'version')

    def __init__(self, model: str, version: int) -> None:
        self.model = model
        self.version = version


class DesiredStateChanged:
    """Announce the desired state in force from now on."""

    __slots__ = ('state',)

    def __init__(self, state: DesiredState) -> None:
        self.state = state


class ModelVersionChanged:
    """Announce a version of weights and how long it has been declared.

    known_for_s is a lower bound; a negative one means that it is unknown.
    """

    __slots__ = ('declared_for_s', 'target')

    def __init__(self, target: ModelVersion, declared_for_s: float) -> None:
        self.target = target
        self.declared_for_s = declared_for_s


class EarlierVersionDeclared:
    """Announce how long a version has been declared that another replaced.

    It still bounds the versions before it.
    """

    __slots__ = ('declared_for_s', 'target')

    def __init__(self, target: ModelVersion, declared_for_s: float) -> None:
        self.target = target
        self.declared_for_s = declared_for_s
