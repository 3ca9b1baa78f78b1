"""Report the progress of a transfer to other services, log and metrics."""

from typing import Final

from loguru import logger

from apricotpin.components.weights.plan import DistributionPlan
from apricotpin.components.weights.status import TransferTotals
from apricotpin.components.weights.transfer import Transfer
from apricotpin.const import SERVICE_ADMIN, SERVICE_ENGINE, SERVICE_WEIGHTS
from apricotpin.core import Kernel
from apricotpin.errors import ErrorKind
from apricotpin.helpers.metrics import count, count_refusal, set_gauge
from apricotpin.messages.admin import Health
from apricotpin.messages.transfers import FetchDone, SetTargetVersion
from apricotpin.messages.weights import VersionComplete

_CORRUPT_KINDS: Final = (ErrorKind.CHUNK_CORRUPT, ErrorKind.MANIFEST_CORRUPT)


class TransferReporter:
    """Send reports on a transfer to the engine, admin and metrics services."""

    __slots__ = ('_kernel', '_plan', '_totals')

    def __init__(
        self, kernel: Kernel, plan: DistributionPlan, totals: TransferTotals
    ) -> None:
        self._kernel = kernel
        self._plan = plan
        self._totals = totals

    def send_target(self, target: Transfer) -> None:
        """Send the target version to the engine service.

        Nothing is sent before the manifest has arrived.
        """
        if target.manifest is None:
            return
        message = SetTargetVersion(target.manifest, self._plan.fencing_number)
        self._kernel.send(SERVICE_ENGINE, message)

    def send_complete_version(self, target: Transfer) -> None:
        """Send the complete, verified version to the engine service."""
        complete = VersionComplete(
            target.manifest,
            self._plan.fencing_number,
            list(target.chunks),
        )
        self._kernel.send(SERVICE_ENGINE, complete)
        logger.bind(
            version=target.target.version,
            bytes_from_origin=self._totals.bytes_from_origin,
            bytes_from_peers=self._totals.bytes_from_peers,
        ).info('version_complete')

    def report_too_large(self, target: Transfer, memory_bytes: int) -> None:
        """Report once that a version is larger than weights_memory_bytes."""
        if target.is_refused:
            return
        target.is_refused = True
        reason = (
            f'{ErrorKind.VERSION_TOO_LARGE.value}: '
            f'version={target.target.version} '
            f'size_bytes={target.size_bytes()} '
            f'weights_memory_bytes={memory_bytes}'
        )
        count_refusal(self._kernel, ErrorKind.VERSION_TOO_LARGE)
        logger.bind(detail=reason).error('version_refused')
        self.report_health(reason)

    def count_received(self, message: FetchDone, chunks_held: int) -> None:
        """Count verified bytes under the kind of their source."""
        kind = message.order.source.kind
        size_bytes = len(message.outcome.ok_value)
        self._totals.add_received(kind, size_bytes)
        count(self._kernel, 'chunk_bytes_total', kind, size_bytes)
        set_gauge(self._kernel, 'chunks_held', chunks_held)

    def log_retry(self, message: FetchDone, reason: ErrorKind) -> None:
        """Log why a fetch is repeated; count corrupt data as a refusal."""
        has_failed = message.outcome.is_err()
        bound_logger = logger.bind(
            reason=reason.value,
            source=message.order.source.kind,
            source_host=message.order.source.host_id,
            index=message.order.index,
            detail=message.outcome.err_value.detail if has_failed else '',
        )
        if reason in _CORRUPT_KINDS:
            count_refusal(self._kernel, reason)
            bound_logger.warning('fetch_failed')
            return
        bound_logger.debug('fetch_failed')

    def report_health(self, reason: str) -> None:
        """Report the service as ready, or as not ready for a reason."""
        health = Health(SERVICE_WEIGHTS, not reason, reason)
        self._kernel.send(SERVICE_ADMIN, health)
