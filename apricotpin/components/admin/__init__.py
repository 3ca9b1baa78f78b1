"""Health, metrics and status of this process over HTTP."""

from gevent.pywsgi import WSGIServer
from result import Result

from apricotpin.components.admin.pages import make_application
from apricotpin.components.admin.service import AdminService
from apricotpin.const import SERVICE_ADMIN
from apricotpin.core import Kernel, Stopping
from apricotpin.errors import Failure
from apricotpin.helpers.listeners import open_listener
from apricotpin.messages.admin import GetProcessStatus, Health
from apricotpin.messages.document import ConfigChanged
from apricotpin.messages.hosts import GetReadiness
from apricotpin.messages.weights import EngineState
from apricotpin.settings import Settings


def setup(kernel: Kernel, settings: Settings) -> Result[None, Failure]:
    """Register the admin service and start its HTTP listener."""
    return open_listener(settings.admin_listen).map(
        lambda listener: _start(kernel, settings, listener),
    )


def _start(kernel: Kernel, settings: Settings, listener: object) -> None:
    service = AdminService(kernel, settings.host_id)
    server = WSGIServer(listener, make_application(kernel), log=None)
    server.start()
    kernel.register(
        SERVICE_ADMIN,
        {
            Health: service.record_health,
            GetProcessStatus: service.report_status,
            GetReadiness: service.report_readiness,
            ConfigChanged: service.record_config,
            EngineState: service.record_engine_state,
            Stopping: service.record_stopping,
        },
        on_stop=server.close,
    )
