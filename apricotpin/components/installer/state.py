"""State of an agent's worker and of the versions that it installs."""

from apricotpin.components.installer import const
from apricotpin.messages.pieces import WorkerReport


class TransferProgress:
    """Track the transfer of one version's pieces; times are monotonic.

    idle_since_s is when the last piece arrived, or when the version became
    the current one after that. fetch_time_s is the total time of the
    fetched_count pieces fetched. No piece is requested until retry_at_s,
    since the entry host itself waits for one.
    """

    __slots__ = ('fetch_time_s', 'fetched_count', 'idle_since_s', 'retry_at_s')

    def __init__(self, started_s: float) -> None:
        self.idle_since_s = started_s
        self.fetched_count = 0
        self.fetch_time_s: float = 0
        self.retry_at_s = float('-inf')

    @property
    def piece_time_s(self) -> float:
        """Return the mean time of the pieces fetched, or a default."""
        return (
            self.fetch_time_s / self.fetched_count
            if self.fetched_count
            else const.DEFAULT_PIECE_TIME_S
        )


class StagedCheck:
    """Track the last check that found the staged pieces intact.

    started_s is None if there was none; times are monotonic. end_layer is the
    end of the layers whose pieces were checked. overlong_count counts the
    checks in a row that took too long to permit a load order. part_layers is
    how many layers are checked and loaded at a time, 0 for all.
    """

    __slots__ = (
        'end_layer',
        'ended_s',
        'overlong_count',
        'part_layers',
        'started_s',
    )

    def __init__(self) -> None:
        self.started_s: float | None = None
        self.ended_s: float | None = None
        self.end_layer = 0
        self.overlong_count = 0
        self.part_layers = 0

    def discard(self) -> None:
        """Require a new check before the next load order."""
        self.started_s = None
        self.ended_s = None


class ManifestState:
    """Track the manifest of a version.

    digest is the SHA-256 of its bytes, empty before the first one. is_doubted:
    it is to be fetched again. corrupt_counts counts by index the pieces that
    did not match it, corrupt_in_row all those since one that did.
    """

    __slots__ = ('corrupt_counts', 'corrupt_in_row', 'digest', 'is_doubted')

    def __init__(self) -> None:
        self.digest = ''
        self.is_doubted = False
        self.corrupt_counts: dict[int, int] = {}
        self.corrupt_in_row = 0

    @property
    def doubted_digest(self) -> str:
        """Return the digest if the manifest is doubted, else no text."""
        return self.digest if self.is_doubted else ''


class VersionPieces:
    """Track the pieces of one version; times are on the monotonic clock.

    content maps indexes to verified content, fetching and staged are sets of
    indexes. is_scanned: the worker's staged pieces have been searched for
    those of this version. started_s is the start of the transfer, for the
    duration in the log.
    """

    __slots__ = (
        'check',
        'content',
        'digests',
        'fetching',
        'is_scanned',
        'layers',
        'manifest',
        'staged',
        'started_s',
        'transfer',
    )

    def __init__(self, started_s: float) -> None:
        self.started_s = started_s
        self.transfer = TransferProgress(started_s)
        self.layers = 0
        self.manifest = ManifestState()
        self.digests: list[str] = []
        self.content: dict[int, bytes] = {}
        self.fetching: set[int] = set()
        self.staged: set[int] = set()
        self.is_scanned = False
        self.check = StagedCheck()

    @property
    def is_complete(self) -> bool:
        """Return whether the content of all pieces is present."""
        return bool(self.digests) and len(self.content) == len(self.digests)


class Install:
    """Track the installation of one version; times are monotonic.

    declared_s is when the version was declared. From switch_deadline_s on,
    the worker does not wait for its turn. group is the worker's switch group,
    0 for the first one, and turn the number of workers in earlier groups that
    have not switched yet. may_truncate: the worker may truncate running
    requests, since they can be resumed at another one. draining_since_s is
    when entry hosts were asked to send new requests to other workers, None
    while they are not. load_ordered_s is when the worker was ordered to load
    layers of the version, None before that.
    """

    __slots__ = (
        'declared_s',
        'draining_since_s',
        'group',
        'load_ordered_s',
        'may_truncate',
        'model',
        'pieces',
        'switch_deadline_s',
        'turn',
        'version',
    )

    def __init__(
        self,
        model: str,
        version: int,
        started_s: float,
        switch_deadline_s: float,
        declared_s: float,
    ) -> None:
        self.model = model
        self.version = version
        self.declared_s = declared_s
        self.switch_deadline_s = switch_deadline_s
        self.turn = 0
        self.group = 0
        self.may_truncate = False
        self.draining_since_s: float | None = None
        self.load_ordered_s: float | None = None
        self.pieces = VersionPieces(started_s)


class WorkerState:
    """Track the worker's last report and its newest loaded version.

    version is 0 where no layers are loaded; missed_reports counts the report
    reads that failed since the last report.
    """

    __slots__ = (
        'layers_end',
        'layers_start',
        'missed_reports',
        'report',
        'version',
    )

    def __init__(self) -> None:
        self.report: WorkerReport | None = None
        self.missed_reports = 0
        self.version = 0
        self.layers_start = 0
        self.layers_end = 0
