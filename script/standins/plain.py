"""Stand-in for a plain service that counts executions by idempotency key."""

from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import Final

import gevent

from apricotpin.core import Kernel, Reply
from script.standins.contents import plain_response
from script.standins.faults import (
    FAULTS,
    LOSS_KINDS,
    RESPONSE_SWITCHES,
    ResponseFault,
    SwapWithPrevious,
    lose_response,
    register_faults,
    take_response_fault,
)
from script.standins.web import Request, Response, Route, call_service

PLAIN: Final = 'plain'
_HALF: Final = 2


class Execute:
    """Count an execution of the request with this idempotency key."""

    __slots__ = ('key',)

    def __init__(self, key: str) -> None:
        self.key = key


class CountRequest:
    """Count a received request, whether it is executed or not."""

    __slots__ = ()


class GetExecutions:
    """Request the number of executions of each key."""

    __slots__ = ()


class PlainService:
    """Own the counters of requests and of executions by key."""

    __slots__ = ('_executions', '_requests', '_total')

    def __init__(self) -> None:
        self._executions: dict[str, int] = {}
        self._requests = 0
        self._total = 0

    def count_request(self, _message: CountRequest, reply: Reply) -> None:
        """Count a received request."""
        self._requests += 1
        reply.ok()

    def execute(self, message: Execute, reply: Reply) -> None:
        """Count an execution; without a key, only in the total."""
        self._total += 1
        if message.key:
            count = self._executions.get(message.key, 0)
            self._executions[message.key] = count + 1
        reply.ok()

    def report_executions(self, _message: GetExecutions, reply: Reply) -> None:
        """Reply with the counters."""
        reply.ok(
            {
                'requests': self._requests,
                'total': self._total,
                'executions': dict(self._executions),
            }
        )


def set_up(
    kernel: Kernel,
    service_name: str,
    work_s: float,
    echo: bool,
) -> list[Route]:
    """Register the plain service and return its routes.

    An execution takes work_s seconds. With echo, the response repeats the
    request's X-Request-Id.
    """
    routes = register_faults(kernel, RESPONSE_SWITCHES)
    service = PlainService()
    kernel.register(
        PLAIN,
        {
            CountRequest: service.count_request,
            Execute: service.execute,
            GetExecutions: service.report_executions,
        },
    )

    def executions_endpoint(_request: Request) -> Response:
        return Response.with_json(call_service(kernel, PLAIN, GetExecutions()))

    return [
        *routes,
        ('GET', '/executions', executions_endpoint),
        ('*', '/.*', _service_endpoint(kernel, service_name, work_s, echo)),
    ]


def _service_endpoint(
    kernel: Kernel,
    service_name: str,
    work_s: float,
    echo: bool,
) -> Callable[[Request], Response]:
    def service_endpoint(request: Request) -> Response:
        body = request.body()
        call_service(kernel, PLAIN, CountRequest())
        fault = take_response_fault(kernel, request)
        if fault.refuse_status:
            return Response.with_error(
                fault.refuse_status, 'refused by a fault'
            )
        _execute_request(kernel, request, fault, work_s)
        document = plain_response(
            service_name, request.method, request.path, body
        )
        response = Response.with_json(document)
        return _respond(kernel, request, fault, response, echo)

    return service_endpoint


def _execute_request(
    kernel: Kernel,
    request: Request,
    fault: ResponseFault,
    work_s: float,
) -> None:
    is_lost = fault.kind in LOSS_KINDS or fault.kind == 'silent_open'
    if is_lost and not fault.executes:
        lose_response(fault.kind, request)
    gevent.sleep(work_s)
    call_service(kernel, PLAIN, Execute(request.header('Idempotency-Key')))
    if is_lost:
        lose_response(fault.kind, request)


def _respond(
    kernel: Kernel,
    request: Request,
    fault: ResponseFault,
    response: Response,
    echo: bool,
) -> Response:
    request_id = request.header('X-Request-Id')
    if fault.kind == 'late':
        gevent.sleep(fault.delay_s)
    if fault.kind == 'crossed':
        swap = SwapWithPrevious(request_id, response.body)
        previous = call_service(kernel, FAULTS, swap)
        request_id = previous.request_id
        response = Response(HTTPStatus.OK, previous.content, response.headers)
    if echo and request_id:
        response.headers.append(('X-Request-Id', request_id))
    if fault.kind == 'truncated':
        return _truncated_response(request, response)
    return response


def _truncated_response(request: Request, response: Response) -> Response:
    length = ('Content-Length', str(len(response.body)))
    parts = _first_half(request, response.body)
    return Response(response.status, b'', [*response.headers, length], parts)


def _first_half(request: Request, body: bytes) -> Iterator[bytes]:
    yield body[: len(body) // _HALF]
    request.close_connection()
