"""Configuration in force, folded from the log service."""

from result import Ok, Result

from apricotpin.components.configuration.follower import follow_log
from apricotpin.components.configuration.service import ConfigurationService
from apricotpin.const import SERVICE_CONFIGURATION
from apricotpin.core import Kernel, Reply, Started
from apricotpin.errors import Failure
from apricotpin.messages.admin import GetServiceStatus
from apricotpin.messages.configuration import ConfigLogRead, GetConfigState
from apricotpin.settings import Settings


def setup(kernel: Kernel, settings: Settings) -> Result[None, Failure]:
    """Register the configuration service."""
    service = ConfigurationService(kernel, settings)

    def follow(_message: Started, _reply: Reply) -> None:
        kernel.spawn(follow_log, kernel, settings.log_url)

    kernel.register(
        SERVICE_CONFIGURATION,
        {
            ConfigLogRead: service.fold_read,
            GetConfigState: service.give_state,
            GetServiceStatus: service.report,
            Started: follow,
        },
    )
    service.start()
    return Ok(None)
