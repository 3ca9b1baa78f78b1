"""Make the local engine serve the target version and confirm that it does."""

from result import Ok, Result

from apricotpin.components.engine.const import TICK_S
from apricotpin.components.engine.service import EngineService
from apricotpin.const import SERVICE_ENGINE
from apricotpin.core import Kernel
from apricotpin.errors import Failure
from apricotpin.messages.admin import GetServiceStatus
from apricotpin.messages.document import ConfigChanged
from apricotpin.messages.hosts import HostsChanged
from apricotpin.messages.transfers import (
    EngineReadDone,
    EngineStepDone,
    EngineTick,
    SetTargetVersion,
)
from apricotpin.messages.weights import VersionComplete
from apricotpin.settings import Settings


def setup(kernel: Kernel, settings: Settings) -> Result[None, Failure]:
    """Register the engine service if the settings name an engine."""
    if not settings.engine_url:
        return Ok(None)
    service = EngineService(kernel, settings)
    kernel.register(
        SERVICE_ENGINE,
        {
            ConfigChanged: service.handle_config,
            HostsChanged: service.handle_hosts,
            SetTargetVersion: service.set_target,
            VersionComplete: service.set_target_with_chunks,
            EngineTick: service.handle_tick,
            EngineReadDone: service.handle_read_done,
            EngineStepDone: service.handle_step_done,
            GetServiceStatus: service.report_status,
        },
    )
    kernel.send_every(SERVICE_ENGINE, EngineTick(), TICK_S)
    return Ok(None)
