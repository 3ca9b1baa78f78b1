"""Stand-in for a plain service that counts each execution by key."""

from collections.abc import Callable, Iterator
from http import HTTPStatus
from typing import Final

import gevent

from apricotpin.core import Kernel, Reply
from script.standins.contents import plain_response
from script.standins.faults import (
    ANSWER_SWITCHES,
    FAULTS,
    LOSSES,
    AnswerFault,
    SwapExchange,
    lose,
    register_faults,
    take_fault,
)
from script.standins.web import Answer, Request, Route, ask

PLAIN: Final = 'plain'
_HALF: Final = 2


class Execute:
    """Run a request once more under its key."""

    __slots__ = ('key',)

    def __init__(self, key: str) -> None:
        self.key = key


class CountRequest:
    """Count a request that arrived, run or not."""

    __slots__ = ()


class GetExecutions:
    """Ask how often each key was run."""

    __slots__ = ()


class PlainService:
    """Own the number of executions of each key."""

    __slots__ = ('_executions', '_requests', '_total')

    def __init__(self) -> None:
        self._executions: dict[str, int] = {}
        self._requests = 0
        self._total = 0

    def count(self, _message: CountRequest, reply: Reply) -> None:
        """Count a request."""
        self._requests += 1
        reply.ok()

    def execute(self, message: Execute, reply: Reply) -> None:
        """Count an execution; requests without a key count in the total."""
        self._total += 1
        if message.key:
            count = self._executions.get(message.key, 0)
            self._executions[message.key] = count + 1
        reply.ok()

    def report(self, _message: GetExecutions, reply: Reply) -> None:
        """Answer with all counts."""
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
    """Start the service and return its routes; a request takes work_s."""
    routes = register_faults(kernel, ANSWER_SWITCHES)
    service = PlainService()
    kernel.register(
        PLAIN,
        {
            CountRequest: service.count,
            Execute: service.execute,
            GetExecutions: service.report,
        },
    )

    def executions_page(_request: Request) -> Answer:
        return Answer.with_json(ask(kernel, PLAIN, GetExecutions()))

    return [
        *routes,
        ('GET', '/executions', executions_page),
        ('*', '/.*', _any_page(kernel, service_name, work_s, echo)),
    ]


def _any_page(
    kernel: Kernel,
    service_name: str,
    work_s: float,
    echo: bool,
) -> Callable[[Request], Answer]:
    def any_page(request: Request) -> Answer:
        body = request.body()
        ask(kernel, PLAIN, CountRequest())
        fault = take_fault(kernel, request)
        if fault.refuse_status:
            return Answer.with_error(fault.refuse_status, 'refused by a fault')
        _run_request(kernel, request, fault, work_s)
        right = plain_response(service_name, request.method, request.path, body)
        answer = Answer.with_json(right)
        return _deliver(kernel, request, fault, answer, echo)

    return any_page


def _run_request(
    kernel: Kernel,
    request: Request,
    fault: AnswerFault,
    work_s: float,
) -> None:
    lost = fault.kind in LOSSES or fault.kind == 'silent_open'
    if lost and not fault.executes:
        lose(fault.kind, request)
    gevent.sleep(work_s)
    ask(kernel, PLAIN, Execute(request.header('Idempotency-Key')))
    if lost:
        lose(fault.kind, request)


def _deliver(
    kernel: Kernel,
    request: Request,
    fault: AnswerFault,
    answer: Answer,
    echo: bool,
) -> Answer:
    request_id = request.header('X-Request-Id')
    if fault.kind == 'late':
        gevent.sleep(fault.delay_s)
    if fault.kind == 'crossed':
        swap = SwapExchange(request_id, answer.body)
        other = ask(kernel, FAULTS, swap)
        request_id = other.request_id
        answer = Answer(HTTPStatus.OK, other.content, answer.headers)
    if echo and request_id:
        answer.headers.append(('X-Request-Id', request_id))
    if fault.kind == 'truncated':
        return _truncated(request, answer)
    return answer


def _truncated(request: Request, answer: Answer) -> Answer:
    length = ('Content-Length', str(len(answer.body)))
    parts = _half_of(request, answer.body)
    return Answer(answer.status, b'', [*answer.headers, length], parts)


def _half_of(request: Request, body: bytes) -> Iterator[bytes]:
    yield body[: len(body) // _HALF]
    request.close_connection()
