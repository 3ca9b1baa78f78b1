"""HTTP listeners for callers and for the load balancer's health check."""

import functools
import time
from typing import Any

from gevent import sleep
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer
from loguru import logger
from result import Result

from apricotpin.components.gateway import const, service
from apricotpin.components.gateway.application import make_application
from apricotpin.components.gateway.callers import CallerConnectionHandler
from apricotpin.const import SERVICE_CALL_CODEC, SERVICE_GATEWAY
from apricotpin.core import Kernel, Stopping
from apricotpin.errors import Failure
from apricotpin.helpers.addresses import Address
from apricotpin.helpers.listeners import open_listener
from apricotpin.host_settings import HostSettings
from apricotpin.messages.requests import CallCodec, GetCallCodec
from apricotpin.messages.desired import DesiredStateChanged


def setup(kernel: Kernel, settings: HostSettings) -> Result[None, Failure]:
    """Register the gateway service and start both listeners."""
    caller_listener = open_listener(Address.from_text(settings.frontend_listen))
    check_listener = open_listener(Address.from_text(settings.ready_listen))
    found_codec = kernel.call(SERVICE_CALL_CODEC, GetCallCodec())
    return caller_listener.and_then(
        lambda callers: check_listener.and_then(
            lambda checks: found_codec.map(
                lambda codec: _start(kernel, settings, callers, checks, codec),
            ),
        ),
    )


def _start(
    kernel: Kernel,
    settings: HostSettings,
    callers: Any,
    checks: Any,
    codec: CallCodec,
) -> None:
    server = WSGIServer(
        callers,
        make_application(kernel, codec),
        spawn=Pool(const.CONNECTIONS_MAX),
        log=None,
        error_log=None,
        handler_class=functools.partial(CallerConnectionHandler, kernel=kernel),
    )
    gateway = service.GatewayService(kernel, server.close)
    kernel.register(
        SERVICE_GATEWAY,
        {
            service.RegisterRequest: gateway.register_request,
            service.UnregisterRequest: gateway.unregister_request,
            service.ReserveResponseMemory: gateway.reserve_memory,
            service.ConnectionIdle: gateway.add_idle,
            service.ConnectionBusy: gateway.remove_idle,
            service.GetLimits: gateway.report_limits,
            service.CheckReadiness: gateway.report_readiness,
            service.AwaitDrained: gateway.await_drained,
            service.RefuseNewRequests: gateway.refuse_requests,
            service.InterruptRequests: gateway.interrupt_requests,
            DesiredStateChanged: gateway.update_limits,
            Stopping: gateway.begin_stop,
        },
        mailbox_size=const.MAILBOX_SIZE,
        on_stop=lambda: _drain(kernel, server, settings.grace_s),
    )
    WSGIServer(
        checks, _make_readiness_application(kernel), log=None, error_log=None
    ).start()
    server.start()


def _make_readiness_application(kernel: Kernel) -> Any:
    def application(_environ: Any, start_response: Any) -> list[bytes]:
        reply = kernel.call(SERVICE_GATEWAY, service.CheckReadiness())
        ready = reply.unwrap_or(False)
        status = '200 OK' if ready else '503 Service Unavailable'
        start_response(status, [('Content-Length', '0')])
        return [b'']

    return application


def _drain(kernel: Kernel, server: WSGIServer, grace_s: float) -> None:
    """Wait until no request is in progress, within the grace period.

    A request that was just read is not tracked yet, so all connections have
    to end as well. Requests that do not end in time respond with a failure.
    """
    deadline_s = time.monotonic() + grace_s - const.STOP_MARGIN_S
    interrupt_s = deadline_s - const.STOP_RESPOND_S
    drained = kernel.call(
        SERVICE_GATEWAY,
        service.AwaitDrained(),
        max(0, interrupt_s - time.monotonic()),
    )
    if drained.is_err():
        kernel.send(SERVICE_GATEWAY, service.InterruptRequests())
    have_ended = server.pool.join(max(0, deadline_s - time.monotonic()))
    if not have_ended:
        logger.bind(grace_s=grace_s, connections=len(server.pool)).warning(
            'connections_closed'
        )
    # Let the kernel transmit the last responses before the process ends.
    sleep(const.STOP_LINGER_S)
    server.stop(timeout=0)
