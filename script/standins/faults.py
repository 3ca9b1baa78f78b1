"""Fault injection: switches of a stand-in, changed by POST /faults."""

import os
import types
from collections.abc import Callable, Mapping
from typing import Any, Final

import gevent

from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind
from script.standins.web import Request, Response, Route, call_service

FAULTS: Final = 'faults'
SILENCE_S: Final = 3600.0
NORMAL: Final = 'normal'

# Switches of engines and plain services.
RESPONSE_SWITCHES: Final = types.MappingProxyType(
    {
        # One of FAULT_KINDS: late responds after delay_s, crossed responds
        # with another request's response, truncated ends within the body,
        # silent sends nothing, silent_open does so on connections opened
        # before the switch was set, reset closes with an RST, and die exits
        # the process.
        'answer': NORMAL,
        # Every n-th request gets the fault.
        'answer_every': 1,
        # Number of requests that get the fault; 0 means no limit.
        'answer_count': 0,
        'delay_s': 1.0,
        # Whether a request is executed before reset, silent or die loses its
        # response; for plain services also before silent_open.
        'executes': True,
        # Tokens sent before a stream is interrupted.
        'after_tokens': 2,
        # Status with which requests are refused without execution; 0: none.
        'refuse_status': 0,
    }
)
FAULT_KINDS: Final = (
    NORMAL,
    'late',
    'crossed',
    'truncated',
    'silent',
    'silent_open',
    'reset',
    'die',
)
# Kinds that leave the caller without a response.
LOSS_KINDS: Final = ('silent', 'reset', 'die')


class SetFaults:
    """Change the given switches and keep the others."""

    __slots__ = ('switches',)

    def __init__(self, switches: Mapping[str, Any]) -> None:
        self.switches = switches


class GetFaults:
    """Request the current switches."""

    __slots__ = ()


class Faults:
    """Carry a read-only copy of the switches."""

    __slots__ = ('switches',)

    def __init__(self, switches: Mapping[str, Any]) -> None:
        self.switches = types.MappingProxyType(dict(switches))


class TakeResponseFault:
    """Count a request and ask for the fault of its response."""

    __slots__ = ('connection_age_s',)

    def __init__(self, connection_age_s: float) -> None:
        self.connection_age_s = connection_age_s


class ResponseFault:
    """Describe the fault of one response; kind may be normal."""

    __slots__ = (
        'after_tokens',
        'delay_s',
        'executes',
        'kind',
        'refuse_status',
    )

    def __init__(self, kind: str, switches: Mapping[str, Any]) -> None:
        self.kind = kind
        self.delay_s: float = switches['delay_s']
        self.executes: bool = switches['executes']
        self.after_tokens: int = switches['after_tokens']
        self.refuse_status: int = switches['refuse_status']


class SwapWithPrevious:
    """Exchange this request's id and content for those of the one before.

    The crossed fault uses it to give a caller the response to another request.
    content is what the response depends on: a body or a prompt.
    """

    __slots__ = ('content', 'request_id')

    def __init__(self, request_id: str, content: bytes) -> None:
        self.request_id = request_id
        self.content = content


class FaultService:
    """Own the switches and count the requests that get a fault."""

    __slots__ = (
        '_changed_s',
        '_clock',
        '_fault_count',
        '_previous',
        '_request_count',
        '_switches',
    )

    def __init__(
        self,
        defaults: Mapping[str, Any],
        clock: Callable[[], float],
    ) -> None:
        self._switches = dict(defaults)
        self._clock = clock
        self._changed_s: float = 0
        self._request_count = 0
        self._fault_count = 0
        self._previous = SwapWithPrevious(
            'another-request', b'answer to another'
        )

    def set(self, message: SetFaults, reply: Reply) -> None:
        """Change switches; refuse unknown names and invalid values."""
        error = _find_error(self._switches, message.switches)
        if error:
            reply.err(ErrorKind.BAD_REQUEST, error)
            return
        self._switches.update(message.switches)
        self._changed_s = self._clock()
        self._request_count = 0
        self._fault_count = 0
        reply.ok(Faults(self._switches))

    def get(self, _message: GetFaults, reply: Reply) -> None:
        """Reply with the current switches."""
        reply.ok(Faults(self._switches))

    def take(self, message: TakeResponseFault, reply: Reply) -> None:
        """Reply with the fault of the next response."""
        kind = self._switches['answer']
        if kind != NORMAL and not self._assign_fault(
            kind, message.connection_age_s
        ):
            kind = NORMAL
        reply.ok(ResponseFault(kind, self._switches))

    def swap(self, message: SwapWithPrevious, reply: Reply) -> None:
        """Reply with the request before this one, and store this one."""
        reply.ok(self._previous)
        self._previous = message

    def _assign_fault(self, kind: str, connection_age_s: float) -> bool:
        """Count a request and return whether it gets the fault.

        silent_open counts nothing and depends on the connection's age.
        """
        if kind == 'silent_open':
            return connection_age_s > self._clock() - self._changed_s
        limit = self._switches['answer_count']
        self._request_count += 1
        if self._request_count % self._switches['answer_every'] or (
            limit and self._fault_count >= limit
        ):
            return False
        self._fault_count += 1
        return True


def _find_error(known: Mapping[str, Any], switches: Mapping[str, Any]) -> str:
    unknown = sorted(set(switches) - set(known))
    if unknown:
        return f'unknown switches {unknown}, known are {sorted(known)}'
    kind = switches.get('answer', NORMAL)
    if kind not in FAULT_KINDS:
        return f'answer is {kind!r}, expected one of {FAULT_KINDS}'
    if switches.get('answer_every', 1) < 1:
        return 'answer_every must be at least 1'
    return ''


def register_faults(kernel: Kernel, defaults: Mapping[str, Any]) -> list[Route]:
    """Register the fault service and return the routes that control it."""
    service = FaultService(defaults, gevent.get_hub().loop.now)
    kernel.register(
        FAULTS,
        {
            SetFaults: service.set,
            GetFaults: service.get,
            TakeResponseFault: service.take,
            SwapWithPrevious: service.swap,
        },
    )

    def set_endpoint(request: Request) -> Response:
        message = SetFaults(dict(request.document()))
        return Response.with_json(
            dict(call_service(kernel, FAULTS, message).switches)
        )

    def get_endpoint(_request: Request) -> Response:
        return Response.with_json(
            dict(call_service(kernel, FAULTS, GetFaults()).switches)
        )

    return [('POST', '/faults', set_endpoint), ('GET', '/faults', get_endpoint)]


def current_faults(kernel: Kernel) -> Mapping[str, Any]:
    """Return the current switches."""
    return call_service(kernel, FAULTS, GetFaults()).switches


def take_response_fault(kernel: Kernel, request: Request) -> ResponseFault:
    """Count a request and return the fault of its response."""
    return call_service(
        kernel, FAULTS, TakeResponseFault(request.connection_age_s())
    )


def lose_response(kind: str, request: Request) -> None:
    """End the request without any further bytes, in the way of the kind."""
    if kind == 'die':
        os._exit(1)
    if kind == 'reset':
        request.reset_connection()
    if kind.startswith('silent'):
        gevent.sleep(SILENCE_S)
    request.close_connection()
