"""Fetch versions of weights in striped trees and serve them to other hosts."""

from result import Ok, Result

from apricotpin.components.weights.const import TICK_S
from apricotpin.components.weights.service import WeightsService
from apricotpin.const import SERVICE_WEIGHTS
from apricotpin.core import Kernel
from apricotpin.errors import Failure
from apricotpin.messages.admin import GetServiceStatus
from apricotpin.messages.document import ConfigChanged
from apricotpin.messages.hosts import HostsChanged
from apricotpin.messages.transfers import (
    ChunksNeeded,
    FetchDone,
    GetNextFetch,
    WeightsTick,
)
from apricotpin.messages.weights import (
    EngineState,
    FetchChunk,
    GetWeightsStatus,
)
from apricotpin.settings import Settings


def setup(kernel: Kernel, settings: Settings) -> Result[None, Failure]:
    """Register the weights service, unless there is no engine to serve."""
    if not settings.engine_url:
        return Ok(None)
    service = WeightsService(kernel, settings)
    kernel.register(
        SERVICE_WEIGHTS,
        {
            ConfigChanged: service.note_config,
            HostsChanged: service.note_hosts,
            EngineState: service.note_engine,
            ChunksNeeded: service.pull_chunks,
            GetNextFetch: service.give_order,
            FetchDone: service.note_fetch,
            WeightsTick: service.tick,
            FetchChunk: service.serve_chunk,
            GetWeightsStatus: service.give_status,
            GetServiceStatus: service.report,
        },
        on_stop=service.stop,
    )
    kernel.send_every(SERVICE_WEIGHTS, WeightsTick(), TICK_S)
    return Ok(None)
