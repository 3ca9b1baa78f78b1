"""Stand-in for a model engine: routes for orders, status and generations."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final

import gevent
from blake3 import blake3

from apricotpin.core import Kernel
from script.standins.engine_state import (
    ENGINE,
    Activate,
    EngineService,
    GetCounters,
    GetStatus,
    Order,
    StoreVersion,
    handlers_of,
)
from script.standins.faults import (
    FAULTS,
    RESPONSE_SWITCHES,
    SetFaults,
    current_faults,
    register_faults,
)
from script.standins.generation import make_generate_endpoint
from script.standins.web import Request, Response, Route, call_service

_DEFAULT_SWITCHES: Final = {
    **RESPONSE_SWITCHES,
    # Seconds that an activation takes; the old version serves until then.
    'activate_s': 0,
    # Number of orders to which it responds with 200 without executing them.
    'ignore_orders': 0,
}


def set_up(
    kernel: Kernel,
    service: EngineService,
    token_s: float,
    checks_fencing: bool,
) -> list[Route]:
    """Register the engine's services and return its routes.

    A generation takes token_s seconds for each token.
    """
    switches = {**_DEFAULT_SWITCHES, 'checks_fencing': checks_fencing}
    routes = register_faults(kernel, switches)
    kernel.register(ENGINE, handlers_of(service))
    return [
        *routes,
        ('GET', '/status', _report_endpoint(kernel, GetStatus())),
        ('GET', '/counters', _report_endpoint(kernel, GetCounters())),
        ('PUT', '/models/([^/]+)/versions/([^/]+)', _version_endpoint(kernel)),
        ('POST', '/models/([^/]+)/active', _active_endpoint(kernel)),
        ('POST', '/generate', make_generate_endpoint(kernel, token_s)),
    ]


def _report_endpoint(kernel: Kernel, message: Any) -> Callable[..., Response]:
    def report_endpoint(_request: Request) -> Response:
        return Response.with_json(call_service(kernel, ENGINE, message))

    return report_endpoint


def _version_endpoint(kernel: Kernel) -> Callable[..., Response]:
    def version_endpoint(
        request: Request, model: str, version: str
    ) -> Response:
        fencing_number = int(request.query['fencing_number'])
        hasher = blake3()
        size_bytes = 0
        for part in request.body_parts():
            hasher.update(part)
            size_bytes += len(part)
        digest = hasher.hexdigest()
        if digest != request.query['digest']:
            detail = f'digest is {digest}, expected {request.query["digest"]}'
            return Response.with_error(HTTPStatus.UNPROCESSABLE_ENTITY, detail)
        store = StoreVersion(model, version, digest, fencing_number, size_bytes)
        return _execute_order(kernel, store)

    return version_endpoint


def _active_endpoint(kernel: Kernel) -> Callable[..., Response]:
    def active_endpoint(request: Request, model: str) -> Response:
        order = request.document()
        fencing_number = int(order['fencing_number'])
        activate = Activate(model, str(order['version']), fencing_number)
        gevent.sleep(current_faults(kernel)['activate_s'])
        return _execute_order(kernel, activate)

    return active_endpoint


def _execute_order(kernel: Kernel, order: StoreVersion | Activate) -> Response:
    faults = current_faults(kernel)
    remaining = faults['ignore_orders']
    if remaining:
        call_service(
            kernel, FAULTS, SetFaults({'ignore_orders': remaining - 1})
        )
        return Response.with_json({})
    outcome = kernel.call(ENGINE, Order(order, faults['checks_fencing']))
    if outcome.is_ok():
        return Response.with_json(outcome.ok_value)
    return Response.with_error(HTTPStatus.CONFLICT, outcome.err_value.detail)
