"""HTTP listeners for callers and for the load balancer's health check."""

import functools
from typing import Any

from gevent import sleep
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer
from loguru import logger
from result import Result

from apricotpin.components.gateway import const, service
from apricotpin.components.gateway.application import make_application
from apricotpin.components.gateway.callers import CallerHandler
from apricotpin.const import SERVICE_CALL_CODEC, SERVICE_GATEWAY
from apricotpin.core import Kernel, Stopping
from apricotpin.errors import Failure
from apricotpin.helpers.addresses import Address
from apricotpin.helpers.listeners import open_listener
from apricotpin.host_settings import HostSettings
from apricotpin.messages.calls import CallCodec, GetCallCodec
from apricotpin.messages.desired import DesiredStateChanged


def setup(kernel: Kernel, settings: HostSettings) -> Result[None, Failure]:
    """Register the gateway service and start both listeners."""
    front = open_listener(Address.from_text(settings.frontend_listen))
    ready = open_listener(Address.from_text(settings.ready_listen))
    codec = kernel.call(SERVICE_CALL_CODEC, GetCallCodec())
    return front.and_then(
        lambda callers: ready.and_then(
            lambda checks: codec.map(
                lambda found: _start(kernel, settings, callers, checks, found),
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
        handler_class=functools.partial(CallerHandler, kernel=kernel),
    )
    gateway = service.GatewayService(kernel, server.close)
    kernel.register(
        SERVICE_GATEWAY,
        {
            service.BeginCall: gateway.begin,
            service.EndCall: gateway.end,
            service.HoldAnswer: gateway.hold,
            service.ConnectionIdle: gateway.note_idle,
            service.ConnectionBusy: gateway.note_busy,
            service.GetLimits: gateway.limits,
            service.GetReady: gateway.ready,
            service.AwaitDrained: gateway.await_drained,
            service.RefuseCalls: gateway.refuse,
            DesiredStateChanged: gateway.take_limits,
            Stopping: gateway.note_stopping,
        },
        mailbox_size=const.MAILBOX_SIZE,
        on_stop=lambda: _drain(kernel, server, settings.grace_s),
    )
    WSGIServer(checks, _make_check(kernel), log=None, error_log=None).start()
    server.start()


def _make_check(kernel: Kernel) -> Any:
    def application(_environ: Any, start_response: Any) -> list[bytes]:
        asked = kernel.call(SERVICE_GATEWAY, service.GetReady())
        ready = asked.unwrap_or(False)
        status = '200 OK' if ready else '503 Service Unavailable'
        start_response(status, [('Content-Length', '0')])
        return [b'']

    return application


def _drain(kernel: Kernel, server: WSGIServer, grace_s: float) -> None:
    """Wait until no request is in progress, within the grace period."""
    longest_s = grace_s - const.STOP_MARGIN_S
    drained = kernel.call(SERVICE_GATEWAY, service.AwaitDrained(), longest_s)
    if drained.is_err():
        logger.bind(grace_s=grace_s).warning('requests_interrupted')
    # Let the kernel transmit the last responses before the process ends.
    sleep(const.STOP_LINGER_S)
    server.stop(timeout=0)
