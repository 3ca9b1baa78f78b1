"""Adapter to the platform: its formats and requests; it decides nothing."""

from result import Ok, Result

from apricotpin.const import (
    ROLE_HOST_AGENT,
    SERVICE_CALL_CODEC,
    SERVICE_ENGINE,
    SERVICE_ORIGIN,
    SERVICE_STORE,
)
from apricotpin.core import Kernel
from apricotpin.errors import Failure
from apricotpin.host_settings import HostSettings
from apricotpin.messages.feeds import (
    DecodeRecords,
    ReadChanges,
    ReadSnapshot,
    RecordEntryHost,
)
from apricotpin.messages.pieces import (
    FetchManifest,
    FetchPiece,
    LoadVersion,
    ReadStagedPiece,
    IsWorkerListening,
    ReadWorkerReport,
    StagePiece,
)
from apricotpin.messages.requests import GetCallCodec
from apricotpin.platform.call_codec import make_codec
from apricotpin.platform.origin import OriginService
from apricotpin.platform.store import StoreService
from apricotpin.platform.worker import WorkerService


def setup(kernel: Kernel, settings: HostSettings) -> Result[None, Failure]:
    """Register the services that send requests to the platform."""
    store = StoreService(kernel, settings.store_address)
    kernel.register(
        SERVICE_STORE,
        {
            ReadSnapshot: store.read,
            ReadChanges: store.read,
            RecordEntryHost: store.record_host,
            DecodeRecords: store.decode,
        },
    )
    if settings.role == ROLE_HOST_AGENT:
        _register_worker(kernel, settings)
    else:
        _register_entry(kernel)
    return Ok(None)


def _register_worker(kernel: Kernel, settings: HostSettings) -> None:
    worker = WorkerService(kernel, settings.upstream_address)
    kernel.register(
        SERVICE_ENGINE,
        {
            IsWorkerListening: worker.is_listening,
            ReadWorkerReport: worker.read_report,
            StagePiece: worker.handle_piece_or_order,
            ReadStagedPiece: worker.handle_piece_or_order,
            LoadVersion: worker.handle_piece_or_order,
        },
    )


def _register_entry(kernel: Kernel) -> None:
    codec = make_codec()
    kernel.register(
        SERVICE_CALL_CODEC,
        {GetCallCodec: lambda _message, reply: reply.ok(codec)},
    )
    origin = OriginService(kernel)
    kernel.register(
        SERVICE_ORIGIN,
        {FetchManifest: origin.fetch, FetchPiece: origin.fetch},
    )
