"""Map requests to routes, services and workspaces of the desired state."""

from result import Ok, Result

from apricotpin.components.routes.service import RoutesService
from apricotpin.const import SERVICE_ROUTES
from apricotpin.core import Kernel
from apricotpin.errors import Failure
from apricotpin.host_settings import HostSettings
from apricotpin.messages.desired import DesiredStateChanged
from apricotpin.messages.requests import ResolveRequest


def setup(kernel: Kernel, _settings: HostSettings) -> Result[None, Failure]:
    """Register the routes service."""
    service = RoutesService()
    kernel.register(
        SERVICE_ROUTES,
        {
            DesiredStateChanged: service.replace_table,
            ResolveRequest: service.resolve,
        },
    )
    return Ok(None)
