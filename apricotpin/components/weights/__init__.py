"""Fetch weights along striped trees of hosts and serve them to other hosts."""

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
    """Register the weights service if the settings name an engine."""
    if not settings.engine_url:
        return Ok(None)
    service = WeightsService(kernel, settings)
    kernel.register(
        SERVICE_WEIGHTS,
        {
            ConfigChanged: service.handle_config,
            HostsChanged: service.handle_hosts,
            EngineState: service.handle_engine_state,
            ChunksNeeded: service.handle_chunks_needed,
            GetNextFetch: service.handle_next_fetch,
            FetchDone: service.handle_fetch_done,
            WeightsTick: service.handle_tick,
            FetchChunk: service.serve_chunk,
            GetWeightsStatus: service.report_weights_status,
            GetServiceStatus: service.report_status,
        },
        on_stop=service.stop,
    )
    kernel.send_every(SERVICE_WEIGHTS, WeightsTick(), TICK_S)
    return Ok(None)
