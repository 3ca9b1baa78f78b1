"""What is wanted of the engine, what it reported and the order in force."""

from collections.abc import Callable

from apricotpin.components.engine import const
from apricotpin.helpers.backoff import jittered_backoff
from apricotpin.messages.transfers import EngineReport
from apricotpin.messages.weights import Manifest


class Wanted:
    """Hold the version that a configuration orders and its fencing number.

    The chunks are absent until the weights service hands them over.
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
        """Tell whether the engine serves exactly this version."""
        manifest = self.manifest
        return (report.model, report.version, report.digest) == (
            manifest.model,
            manifest.version,
            manifest.digest,
        )


class Orders:
    """Hold the progress of the order in force."""

    __slots__ = (
        'activated',
        'failures',
        'loaded',
        'ordering',
        'resume_s',
        'switching_until_s',
    )

    def __init__(self) -> None:
        self.loaded = False
        # An activation was answered and is not confirmed yet.
        self.activated = False
        self.ordering = False
        self.failures = 0
        self.resume_s: float = 0
        self.switching_until_s: float | None = None


class Reads:
    """Hold the last report of the engine and when to ask again."""

    __slots__ = ('due_s', 'failed', 'fresh', 'reading', 'report', 'serial')

    def __init__(self) -> None:
        self.report: EngineReport | None = None
        self.fresh = False
        # Reads that began before the latest order are outdated.
        self.serial = 0
        self.reading = False
        self.failed = 0
        self.due_s: float = 0

    def renew(self, now_s: float) -> None:
        """Require a report that begins from now on."""
        self.fresh = False
        self.serial += 1
        self.due_s = now_s


class Engine:
    """Hold what is wanted of the engine and what it does."""

    __slots__ = ('_pause', 'drain_s', 'orders', 'reads', 'wanted')

    def __init__(
        self,
        drain_s: float,
        random_unit: Callable[[], float],
    ) -> None:
        self.drain_s = drain_s
        self.wanted: Wanted | None = None
        self.orders = Orders()
        self.reads = Reads()
        self._pause = jittered_backoff(
            const.RETRY_FIRST_S,
            const.RETRY_LONGEST_S,
            random_unit,
        )

    @property
    def confirmed(self) -> bool:
        """Tell whether the engine was seen to serve the wanted version."""
        report = self.reads.report
        if self.wanted is None or report is None or not self.reads.fresh:
            return False
        return self.wanted.matches(report)

    @property
    def lacks_chunks(self) -> bool:
        """Tell whether the version has to be fetched for the engine."""
        if self.wanted is None or self.wanted.chunks is not None:
            return False
        answered = self.reads.report is not None or self.reads.failed > 0
        return answered and not self.confirmed

    @property
    def outranked(self) -> bool:
        """Tell whether the engine follows a newer order than ours.

        Engines that ignore fencing numbers would obey an old order, so the
        agent itself gives none.
        """
        report = self.reads.report
        if self.wanted is None or report is None or self.confirmed:
            return False
        return report.fencing_number > self.wanted.fencing_number

    def repeat_later(self, now_s: float) -> None:
        """Give the whole order again after a growing pause."""
        self.orders.failures += 1
        self.orders.loaded = False
        self.orders.resume_s = now_s + self._pause(self.orders.failures)
