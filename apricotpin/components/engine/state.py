"""State of the engine: target version, progress of orders, last report."""

from collections.abc import Callable

from apricotpin.components.engine import const
from apricotpin.helpers.backoff import jittered_backoff
from apricotpin.messages.transfers import EngineReport
from apricotpin.messages.weights import Manifest


class TargetVersion:
    """Describe the version that the engine is to serve.

    The fencing number is the log offset of the configuration that names the
    version. chunks is None until the weights service delivers them.
    """

    __slots__ = ('chunks', 'fencing_number', 'manifest')

    def __init__(
        self,
        manifest: Manifest,
        fencing_number: int,
        chunks: list[bytes] | None = None,
    ) -> None:
        self.manifest = manifest
        self.fencing_number = fencing_number
        self.chunks = chunks

    def matches(self, report: EngineReport) -> bool:
        """Return whether the report shows this model, version and digest."""
        manifest = self.manifest
        return (report.model, report.version, report.digest) == (
            manifest.model,
            manifest.version,
            manifest.digest,
        )


class OrderProgress:
    """Track the orders given for the current target version."""

    __slots__ = (
        'awaits_confirmation',
        'backoff_until_s',
        'drain_deadline_s',
        'failures',
        'has_order_in_flight',
        'is_loaded',
    )

    def __init__(self) -> None:
        self.is_loaded = False
        # The engine accepted an activation that no report has confirmed yet.
        self.awaits_confirmation = False
        self.has_order_in_flight = False
        self.failures = 0
        self.backoff_until_s: float = 0
        self.drain_deadline_s: float | None = None


class StatusReads:
    """Track the status reads, the last report and the time of the next read."""

    __slots__ = (
        'failure_count',
        'has_current_report',
        'has_read_in_flight',
        'next_read_s',
        'report',
        'serial',
    )

    def __init__(self) -> None:
        self.report: EngineReport | None = None
        self.has_current_report = False
        # Identifies the reads whose result is still valid: a read that began
        # under another serial is discarded.
        self.serial = 0
        self.has_read_in_flight = False
        self.failure_count = 0
        self.next_read_s: float = 0

    def invalidate(self, now_s: float) -> None:
        """Require a report that is requested now or later.

        The result of a read in progress will be discarded, because it may
        show the state of the engine before an order or a switch.
        """
        self.has_current_report = False
        self.serial += 1
        self.next_read_s = now_s


class Engine:
    """Track the engine: target version, orders and status reads.

    All times are on the monotonic clock.
    """

    __slots__ = ('_backoff_s', 'drain_limit_s', 'orders', 'reads', 'target')

    def __init__(
        self,
        drain_limit_s: float,
        random_unit: Callable[[], float],
    ) -> None:
        self.drain_limit_s = drain_limit_s
        self.target: TargetVersion | None = None
        self.orders = OrderProgress()
        self.reads = StatusReads()
        self._backoff_s = jittered_backoff(
            const.RETRY_BACKOFF_FIRST_S,
            const.RETRY_BACKOFF_MAX_S,
            random_unit,
        )

    @property
    def is_confirmed(self) -> bool:
        """Return whether a current report shows the target version."""
        report = self.reads.report
        if (
            self.target is None
            or report is None
            or not self.reads.has_current_report
        ):
            return False
        return self.target.matches(report)

    @property
    def lacks_chunks(self) -> bool:
        """Return whether the chunks of the target must be fetched.

        This is decided only after the first status read has ended.
        """
        if self.target is None or self.target.chunks is not None:
            return False
        has_read_ended = (
            self.reads.report is not None or self.reads.failure_count > 0
        )
        return has_read_ended and not self.is_confirmed

    @property
    def follows_newer_order(self) -> bool:
        """Return whether the engine follows an order with a higher number.

        An engine that ignores fencing numbers would carry out an older order,
        so the agent sends none in this case.
        """
        report = self.reads.report
        if self.target is None or report is None or self.is_confirmed:
            return False
        return report.fencing_number > self.target.fencing_number

    def schedule_retry(self, now_s: float) -> None:
        """Start again with the upload, after a back-off that grows."""
        self.orders.failures += 1
        self.orders.is_loaded = False
        self.orders.backoff_until_s = now_s + self._backoff_s(
            self.orders.failures
        )
