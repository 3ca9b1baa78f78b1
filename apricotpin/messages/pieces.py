"""Messages about pieces of weights and the worker that loads them."""

import enum

from apricotpin.messages.upstreams import LoadedLayers


class PieceManifest:
    """Hold the SHA-256 digest of each piece of a version, in order."""

    __slots__ = ('digests', 'layers', 'model', 'version')

    def __init__(
        self,
        model: str,
        version: int,
        layers: int,
        digests: tuple[str, ...],
    ) -> None:
        self.model = model
        self.version = version
        self.layers = layers
        self.digests = digests


class FetchManifest:
    """Ask an origin for the manifest of a version."""

    __slots__ = ('address', 'model', 'version')

    def __init__(self, address: str, model: str, version: int) -> None:
        self.address = address
        self.model = model
        self.version = version


class FetchPiece:
    """Ask an origin for one piece of a version."""

    __slots__ = ('address', 'index', 'model', 'version')

    def __init__(
        self,
        address: str,
        model: str,
        version: int,
        index: int,
    ) -> None:
        self.address = address
        self.model = model
        self.version = version
        self.index = index


class LayerRange:
    """Describe the layers from start up to, but not including, end."""

    __slots__ = ('end', 'start')

    def __init__(self, start: int, end: int) -> None:
        self.start = start
        self.end = end


class StagePiece:
    """Ask the worker beside this process to store a piece for loading.

    The piece is not sent after send_by_s, on the boot-time clock.
    """

    __slots__ = ('content', 'index', 'model', 'send_by_s')

    def __init__(
        self, model: str, index: int, content: bytes, send_by_s: float
    ) -> None:
        self.model = model
        self.index = index
        self.content = content
        self.send_by_s = send_by_s


class ReadStagedPiece:
    """Ask the worker beside this process for a staged piece.

    The reply is None if the worker does not have the piece.
    """

    __slots__ = ('index', 'model')

    def __init__(self, model: str, index: int) -> None:
        self.model = model
        self.index = index


class OrderEffect(enum.Enum):
    """Name what an accepted order does."""

    BEGUN = 'begun'
    # The worker begins nothing, since the order is in effect already.
    IN_EFFECT = 'in_effect'


class LoadVersion:
    """Order the worker to load layers from its staged pieces.

    The reply is an OrderEffect. The failure ENGINE_OUTCOME_UNKNOWN says that
    the worker may still accept the order.

    The worker first completes the requests that are running, or cuts them off
    if may_truncate is set. The order is not sent after send_by_s, on the
    boot-time clock. The worker refuses it unless it has begun expected_orders
    orders since its start.
    """

    __slots__ = (
        'expected_orders',
        'may_truncate',
        'model',
        'part',
        'send_by_s',
        'version',
    )

    def __init__(
        self,
        model: str,
        version: int,
        part: LayerRange,
        send_by_s: float,
        expected_orders: int,
        may_truncate: bool = False,
    ) -> None:
        self.expected_orders = expected_orders
        self.may_truncate = may_truncate
        self.model = model
        self.version = version
        self.part = part
        self.send_by_s = send_by_s


class ReadWorkerReport:
    """Ask the worker beside this process for its load and loaded layers."""

    __slots__ = ()


class IsWorkerListening:
    """Ask whether the worker's address does not refuse connections."""

    __slots__ = ()


class WorkerReport:
    """Report the load and the loaded layers of a worker."""

    __slots__ = (
        'accepted_orders',
        'active',
        'has_order_in_progress',
        'is_leaving',
        'loaded',
        'queued',
        'started_ms',
    )

    def __init__(
        self,
        active: int,
        queued: int,
        has_order_in_progress: bool,
        started_ms: int,
        loaded: tuple[LoadedLayers, ...],
        is_leaving: bool = False,
        accepted_orders: int = 0,
    ) -> None:
        # How many orders the worker has begun since its start.
        self.accepted_orders = accepted_orders
        # Whether the worker states that it shuts down.
        self.is_leaving = is_leaving
        self.active = active
        self.queued = queued
        # Whether the worker is carrying out an order to load a version.
        self.has_order_in_progress = has_order_in_progress
        # Unix milliseconds of its start; a change means that it restarted.
        self.started_ms = started_ms
        self.loaded = loaded
