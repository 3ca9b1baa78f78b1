"""Messages between the installer and its greenlets."""

from result import Result

from apricotpin.components.installer.decisions import Load
from apricotpin.components.installer.state import Install
from apricotpin.errors import Failure
from apricotpin.messages.pieces import WorkerReport


class ReportRead:
    """Carry a report of the worker, or why there is none."""

    __slots__ = ('report',)

    def __init__(self, report: Result[WorkerReport, Failure]) -> None:
        self.report = report


class NextPiece:
    """Ask what to fetch and from where; answered when there is something."""

    __slots__ = ()


class PieceOrder:
    """Name a piece and the entry hosts to ask, best first.

    An entry host that does not hold the piece waits wait_ms for it; begun_s
    is when the piece was ordered.
    """

    __slots__ = ('addresses', 'begun_s', 'index', 'install', 'wait_ms')

    def __init__(
        self,
        install: Install,
        index: int,
        addresses: list[str],
        wait_ms: int,
        begun_s: float,
    ) -> None:
        self.wait_ms = wait_ms
        self.begun_s = begun_s
        self.install = install
        self.index = index
        self.addresses = addresses


class PieceFetched:
    """Carry a fetched piece, or why the entry host gave none."""

    __slots__ = ('address', 'content', 'order')

    def __init__(
        self,
        order: PieceOrder,
        address: str,
        content: Result[bytes, Failure],
    ) -> None:
        self.order = order
        self.address = address
        self.content = content


class NextLoad:
    """Ask what to do at the worker; answered when there is something."""

    __slots__ = ()


class LoadOrder:
    """Name a step at the worker; pieces holds content by index."""

    __slots__ = ('action', 'begun_s', 'digests', 'install', 'pieces')

    def __init__(
        self,
        action: Load,
        install: Install,
        pieces: dict[int, bytes],
        begun_s: float = 0,
    ) -> None:
        self.action = action
        # When the step began, by the monotonic clock.
        self.begun_s = begun_s
        self.install = install
        self.digests = tuple(install.stock.digests)
        self.pieces = pieces


class LoadDone:
    """Carry what a step at the worker achieved."""

    __slots__ = ('done', 'order', 'pieces')

    def __init__(
        self,
        order: LoadOrder,
        done: bool,
        pieces: dict[int, bytes],
    ) -> None:
        self.order = order
        self.done = done
        self.pieces = pieces


class IsShared:
    """Ask whether the pieces of a version are staged at the worker."""

    __slots__ = ('model', 'version')

    def __init__(self, model: str, version: int) -> None:
        self.model = model
        self.version = version
