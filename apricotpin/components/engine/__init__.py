"""Order the local engine to serve a version and confirm that it does."""

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
    """Register the engine service, unless there is no engine."""
    if not settings.engine_url:
        return Ok(None)
    service = EngineService(kernel, settings)
    kernel.register(
        SERVICE_ENGINE,
        {
            ConfigChanged: service.note_config,
            HostsChanged: service.note_hosts,
            SetTargetVersion: service.expect,
            VersionComplete: service.take_version,
            EngineTick: service.tick,
            EngineReadDone: service.note_read,
            EngineStepDone: service.note_step,
            GetServiceStatus: service.report,
        },
    )
    kernel.send_every(SERVICE_ENGINE, EngineTick(), TICK_S)
    return Ok(None)
