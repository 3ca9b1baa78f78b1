"""Messages between the installer service and its tasks."""

from result import Result

from apricotpin.components.installer import const
from apricotpin.components.installer.decisions import LoadStep
from apricotpin.components.installer.open_calls import OpenOrder
from apricotpin.components.installer.state import Install
from apricotpin.errors import Failure
from apricotpin.messages.pieces import LayerRange, OrderEffect, WorkerReport


class ReportRead:
    """Carry the worker's report, or the failure to read it.

    was_absent: no worker listened before this first read.
    """

    __slots__ = ('report', 'was_absent')

    def __init__(
        self,
        report: Result[WorkerReport, Failure],
        was_absent: bool = False,
    ) -> None:
        self.report = report
        self.was_absent = was_absent


class GetNextFetchJob:
    """Ask for the next fetch job; the reply comes once there is one."""

    __slots__ = ()


class FetchJob:
    """Describe a piece to fetch and the entry hosts to ask, best first.

    An entry host that does not hold the piece waits up to wait_ms for it.
    started_s is when the job was assigned, on the monotonic clock.
    doubted_digest is that of the manifest to be replaced, empty if none is.
    """

    __slots__ = (
        'addresses',
        'doubted_digest',
        'index',
        'install',
        'started_s',
        'wait_ms',
    )

    def __init__(
        self,
        install: Install,
        index: int,
        addresses: list[str],
        wait_ms: int,
        started_s: float,
    ) -> None:
        self.wait_ms = wait_ms
        self.started_s = started_s
        self.install = install
        self.index = index
        self.addresses = addresses
        is_manifest = index == const.MANIFEST_INDEX
        manifest = install.pieces.manifest
        self.doubted_digest = manifest.doubted_digest if is_manifest else ''


class PieceFetched:
    """Carry a fetched piece, or the failure to fetch it.

    The reply is how many pieces in a row did not match the manifest.
    """

    __slots__ = ('address', 'content', 'job')

    def __init__(
        self,
        job: FetchJob,
        address: str,
        content: Result[bytes, Failure],
    ) -> None:
        self.job = job
        self.address = address
        self.content = content


class GetNextLoadJob:
    """Ask for the next load job; the reply comes once there is one."""

    __slots__ = ()


class LoadJob:
    """Describe a load step.

    part is the layers that a check or a load order concerns. pieces maps the
    indexes of the pieces to copy to their content. started_s is when the step
    was assigned, and a load order is not sent after send_by_s, both on the
    boot-time clock. order is the load order to give.
    """

    __slots__ = (
        'digests',
        'install',
        'order',
        'part',
        'pieces',
        'send_by_s',
        'started_s',
        'step',
    )

    def __init__(
        self,
        step: LoadStep,
        install: Install,
        part: LayerRange,
        pieces: dict[int, bytes],
        started_s: float = 0,
    ) -> None:
        self.step = step
        self.started_s = started_s
        self.install = install
        self.part = part
        self.digests = tuple(install.pieces.digests)
        self.pieces = pieces
        self.send_by_s: float = 0
        self.order: OpenOrder | None = None


class LoadJobDone:
    """Carry the outcome of a load step.

    pieces maps the indexes that the step found or staged to their content.
    has_copied: the step wrote pieces to the worker, or tried. unanswered are
    the indexes of copies without a response. found_staged: a
    scan found staged pieces, of this or another version. order_reply is the
    worker's reply to a load order.
    """

    __slots__ = (
        'found_staged',
        'has_copied',
        'job',
        'order_reply',
        'pieces',
        'succeeded',
        'unanswered',
    )

    def __init__(
        self,
        job: LoadJob,
        succeeded: bool,
        pieces: dict[int, bytes],
    ) -> None:
        self.job = job
        self.succeeded = succeeded
        self.pieces = pieces
        self.unanswered: tuple[int, ...] = ()
        self.found_staged = True
        self.has_copied = False
        self.order_reply: Result[OrderEffect, Failure] | None = None


class CanShareVersion:
    """Ask whether the staged pieces may be sent as those of a version."""

    __slots__ = ('model', 'version')

    def __init__(self, model: str, version: int) -> None:
        self.model = model
        self.version = version
