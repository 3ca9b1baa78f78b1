"""HTTP listener that forwards callers' requests to upstreams."""

from typing import Any

from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer
from loguru import logger
from result import Result

from apricotpin.components.frontend.application import make_application
from apricotpin.components.frontend.const import (
    CALLER_TIMEOUT_S,
    CONNECTIONS_MAX,
    FRONTEND_MAILBOX_SIZE,
    IDLE_CHECK_PERIOD_S,
    SERVER_STOP_TIMEOUT_S,
)
from apricotpin.components.frontend.service import FrontendService
from apricotpin.const import SERVICE_FRONTEND
from apricotpin.core import Handlers, Kernel, Stopping
from apricotpin.errors import Failure
from apricotpin.helpers.addresses import Address
from apricotpin.helpers.listeners import open_listener
from apricotpin.messages import routing
from apricotpin.messages.admin import GetServiceStatus
from apricotpin.settings import Settings

# Error text of a socket that timed out, as gevent compares it.
_TIMED_OUT = 'timed out'


def setup(kernel: Kernel, settings: Settings) -> Result[None, Failure]:
    """Register the frontend service and start its listener."""
    address = Address.from_text(settings.frontend_listen)
    return open_listener(address).map(
        lambda listener: _start(kernel, settings, listener),
    )


def _start(kernel: Kernel, settings: Settings, listener: Any) -> None:
    server = WSGIServer(
        listener,
        make_application(kernel, settings.host_id),
        spawn=Pool(CONNECTIONS_MAX),
        log=None,
        error_log=None,
        handler_class=_make_connection_handler,
    )
    service = FrontendService(kernel, settings.grace_s)
    kernel.register(
        SERVICE_FRONTEND,
        _make_handlers(service),
        mailbox_size=FRONTEND_MAILBOX_SIZE,
        on_stop=lambda: _drain(kernel, server, settings.grace_s),
    )
    tick = routing.CloseIdleConnections()
    kernel.send_every(SERVICE_FRONTEND, tick, IDLE_CHECK_PERIOD_S)
    server.start()


def _make_handlers(service: FrontendService) -> Handlers:
    return {
        routing.RegisterRequest: service.register_request,
        routing.UnregisterRequest: service.unregister_request,
        routing.AwaitDrained: service.await_drained,
        routing.RefuseNewRequests: service.refuse_requests,
        routing.AcquireConnection: service.acquire_connection,
        routing.ReleaseConnection: service.release_connection,
        routing.CloseConnections: service.close_connections,
        routing.CloseIdleConnections: service.close_idle,
        Stopping: service.begin_stop,
        GetServiceStatus: service.report_status,
    }


def _make_connection_handler(
    connection: Any,
    address: Any,
    server: WSGIServer,
) -> WSGIHandler:
    """Return a connection handler that disconnects silent callers."""
    connection.settimeout(CALLER_TIMEOUT_S)
    handler = WSGIHandler(connection, address, server)
    # A caller that stops reading loses its connection; this is not an error of
    # the server.
    ignored = (*handler.ignored_socket_errors, _TIMED_OUT)
    handler.ignored_socket_errors = ignored
    return handler


def _drain(kernel: Kernel, server: WSGIServer, grace_s: float) -> None:
    """Wait until no request is in progress, at most grace_s."""
    drained = kernel.call(SERVICE_FRONTEND, routing.AwaitDrained(), grace_s)
    if drained.is_err():
        logger.bind(grace_s=grace_s).warning('requests_interrupted')
    server.stop(timeout=SERVER_STOP_TIMEOUT_S)
