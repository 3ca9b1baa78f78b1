"""Messages between the weights and engine services and their workers."""

from typing import Any

from result import Result

from apricotpin.errors import Failure
from apricotpin.messages.weights import Manifest


class Source:
    """Name the source of a chunk; depth is its distance from the origin."""

    __slots__ = ('address', 'depth', 'host_id', 'kind')

    def __init__(
        self,
        kind: str,
        host_id: str = '',
        address: str = '',
        depth: int = 0,
    ) -> None:
        self.kind = kind
        self.host_id = host_id
        self.address = address
        self.depth = depth


class Lane:
    """Identify one of the parallel fetches of a stripe.

    slot is its index in the window, the number of parallel fetches.
    """

    __slots__ = ('slot', 'stripe', 'transfer_id')

    def __init__(self, transfer_id: int, stripe: int, slot: int) -> None:
        self.transfer_id = transfer_id
        self.stripe = stripe
        self.slot = slot


class GetNextFetch:
    """Ask for the next fetch of a lane; the reply comes once there is one."""

    __slots__ = ('lane',)

    def __init__(self, lane: Lane) -> None:
        self.lane = lane


class FetchOrder:
    """Order a lane to fetch a chunk, or the manifest, from a source."""

    __slots__ = ('index', 'model', 'source', 'timeout_s', 'version', 'wait_ms')

    def __init__(
        self,
        model: str,
        version: str,
        index: int,
        source: Source,
        wait_ms: int,
        timeout_s: float,
    ) -> None:
        self.model = model
        self.version = version
        self.index = index
        self.source = source
        self.wait_ms = wait_ms
        self.timeout_s = timeout_s


class FetchDone:
    """Report the bytes that a lane received, not verified, or the failure."""

    __slots__ = ('lane', 'order', 'outcome')

    def __init__(
        self,
        lane: Lane,
        order: FetchOrder,
        outcome: Result[bytes, Failure],
    ) -> None:
        self.lane = lane
        self.order = order
        self.outcome = outcome


class WeightsTick:
    """Ask the service to reply to expired waits and to end back-offs."""

    __slots__ = ()


class SetTargetVersion:
    """Set the version that the engine is to serve."""

    __slots__ = ('fencing_number', 'manifest')

    def __init__(self, manifest: Manifest, fencing_number: int) -> None:
        self.manifest = manifest
        self.fencing_number = fencing_number


class ChunksNeeded:
    """Report that the engine lacks chunks of a version."""

    __slots__ = ('model', 'version')

    def __init__(self, model: str, version: str) -> None:
        self.model = model
        self.version = version


class EngineTick:
    """Ask for the next step of the order in progress."""

    __slots__ = ()


class EngineReport:
    """Carry what the engine reports that it serves."""

    __slots__ = ('digest', 'fencing_number', 'in_flight', 'model', 'version')

    def __init__(self, fields: Any) -> None:
        self.model: str = fields['model']
        self.version: str = fields['version']
        self.digest: str = fields['digest']
        self.fencing_number: int = fields['fencing_number']
        self.in_flight: int = fields['in_flight']


class EngineStepDone:
    """Report the outcome of an order for the version with a digest."""

    __slots__ = ('digest', 'outcome', 'step')

    def __init__(
        self,
        step: str,
        digest: str,
        outcome: Result[None, Failure],
    ) -> None:
        self.step = step
        self.digest = digest
        self.outcome = outcome


class EngineReadDone:
    """Report what the engine serves.

    serial is the number of the read, by which outdated results are found.
    """

    __slots__ = ('outcome', 'serial')

    def __init__(
        self,
        serial: int,
        outcome: Result[EngineReport, Failure],
    ) -> None:
        self.serial = serial
        self.outcome = outcome
