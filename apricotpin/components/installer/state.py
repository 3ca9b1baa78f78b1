"""What an agent knows of its worker and of the version to install."""

from apricotpin.components.installer import const
from apricotpin.messages.pieces import WorkerReport


class PieceFlow:
    """Hold how the pieces of one version come; times are monotonic.

    progress_s is when the last piece came, fetch_s the time that the fetched
    ones took. Nothing is asked for until again_s, since the entry host waits
    for it itself.
    """

    __slots__ = ('again_s', 'fetch_s', 'fetched', 'progress_s')

    def __init__(self, begun_s: float) -> None:
        self.progress_s = begun_s
        self.fetched = 0
        self.fetch_s: float = 0
        self.again_s = float('-inf')

    @property
    def piece_s(self) -> float:
        """Return the time that a piece takes, by those fetched before."""
        return self.fetch_s / self.fetched if self.fetched else const.PIECE_S


class PieceStock:
    """Hold the pieces of one version; times are of the monotonic clock.

    pieces holds checked content; scanned holds once the worker's staged
    pieces were looked through; checked_s is when a check that found all that
    is staged right began, None if there was none.
    """

    __slots__ = (
        'begun_s',
        'checked_s',
        'digests',
        'fetching',
        'flow',
        'layers',
        'pieces',
        'scanned',
        'staged',
    )

    def __init__(self, begun_s: float) -> None:
        self.begun_s = begun_s
        self.flow = PieceFlow(begun_s)
        self.layers = 0
        self.digests: list[str] = []
        self.pieces: dict[int, bytes] = {}
        self.fetching: set[int] = set()
        self.staged: set[int] = set()
        self.scanned = False
        self.checked_s: float | None = None

    @property
    def is_complete(self) -> bool:
        """Tell whether every piece is here."""
        return bool(self.digests) and len(self.pieces) == len(self.digests)


class Install:
    """Hold the progress of one version; times are of the monotonic clock.

    declared_s is when the version became known. switch_by_s is when the
    worker waits for no other any more; turn counts
    the workers that switch first and group is 0 for those; may_cut
    holds where what runs at the worker may go on at another one. draining_s
    is since when entry hosts are asked to send new requests elsewhere, None
    while they are not.
    """

    __slots__ = (
        'declared_s',
        'draining_s',
        'group',
        'may_cut',
        'model',
        'ordered_s',
        'stock',
        'switch_by_s',
        'turn',
        'version',
    )

    def __init__(
        self,
        model: str,
        version: int,
        begun_s: float,
        switch_by_s: float,
        declared_s: float,
    ) -> None:
        self.model = model
        self.version = version
        self.declared_s = declared_s
        self.switch_by_s = switch_by_s
        self.turn = 0
        self.group = 0
        self.may_cut = False
        self.draining_s: float | None = None
        self.ordered_s: float | None = None
        self.stock = PieceStock(begun_s)


class WorkerView:
    """Hold the last report of the worker, and the layers it named last."""

    __slots__ = ('layers_end', 'layers_start', 'misses', 'report', 'version')

    def __init__(self) -> None:
        self.report: WorkerReport | None = None
        self.misses = 0
        self.version = 0
        self.layers_start = 0
        self.layers_end = 0
