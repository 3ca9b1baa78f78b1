"""Stand-in for a model engine: orders to load and activate versions."""

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
    ANSWER_SWITCHES,
    FAULTS,
    SetFaults,
    current_faults,
    register_faults,
)
from script.standins.generation import make_generate_page
from script.standins.web import Answer, Request, Route, ask

_SWITCHES: Final = {
    **ANSWER_SWITCHES,
    # Seconds that an activation takes, during which the old version serves.
    'activate_s': 0,
    # The next orders are answered with 200 and not carried out.
    'ignore_orders': 0,
}


def set_up(
    kernel: Kernel,
    service: EngineService,
    token_s: float,
    checks_fencing: bool,
) -> list[Route]:
    """Start the engine and return its routes.

    Tokens of a stream are token_s seconds apart.
    """
    switches = {**_SWITCHES, 'checks_fencing': checks_fencing}
    routes = register_faults(kernel, switches)
    kernel.register(ENGINE, handlers_of(service))
    return [
        *routes,
        ('GET', '/status', _report_page(kernel, GetStatus())),
        ('GET', '/counters', _report_page(kernel, GetCounters())),
        ('PUT', '/models/([^/]+)/versions/([^/]+)', _version_page(kernel)),
        ('POST', '/models/([^/]+)/active', _active_page(kernel)),
        ('POST', '/generate', make_generate_page(kernel, token_s)),
    ]


def _report_page(kernel: Kernel, message: Any) -> Callable[..., Answer]:
    def report_page(_request: Request) -> Answer:
        return Answer.with_json(ask(kernel, ENGINE, message))

    return report_page


def _version_page(kernel: Kernel) -> Callable[..., Answer]:
    def version_page(request: Request, model: str, version: str) -> Answer:
        fencing_number = int(request.query['fencing_number'])
        whole = blake3()
        size_bytes = 0
        for part in request.parts():
            whole.update(part)
            size_bytes += len(part)
        found = whole.hexdigest()
        if found != request.query['digest']:
            detail = f'digest is {found}, expected {request.query["digest"]}'
            return Answer.with_error(HTTPStatus.UNPROCESSABLE_ENTITY, detail)
        store = StoreVersion(model, version, found, fencing_number, size_bytes)
        return _carry_out(kernel, store)

    return version_page


def _active_page(kernel: Kernel) -> Callable[..., Answer]:
    def active_page(request: Request, model: str) -> Answer:
        order = request.document()
        fencing_number = int(order['fencing_number'])
        activate = Activate(model, str(order['version']), fencing_number)
        gevent.sleep(current_faults(kernel)['activate_s'])
        return _carry_out(kernel, activate)

    return active_page


def _carry_out(kernel: Kernel, order: StoreVersion | Activate) -> Answer:
    faults = current_faults(kernel)
    remaining = faults['ignore_orders']
    if remaining:
        ask(kernel, FAULTS, SetFaults({'ignore_orders': remaining - 1}))
        return Answer.with_json({})
    outcome = kernel.call(ENGINE, Order(order, faults['checks_fencing']))
    if outcome.is_ok():
        return Answer.with_json(outcome.ok_value)
    return Answer.with_error(HTTPStatus.CONFLICT, outcome.err_value.detail)
