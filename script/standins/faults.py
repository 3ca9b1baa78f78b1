"""Fault switches of a stand-in, set by POST /faults while it runs."""

import os
import types
from collections.abc import Callable, Mapping
from typing import Any, Final

import gevent

from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind
from script.standins.web import Answer, Request, Route, ask

FAULTS: Final = 'faults'
SILENCE_S: Final = 3600.0
NORMAL: Final = 'normal'

# Switches that engines and plain services share.
ANSWER_SWITCHES: Final = types.MappingProxyType(
    {
        # normal, late, crossed, truncated, silent, silent_open, reset or die
        'answer': NORMAL,
        # One request of this many receives the fault.
        'answer_every': 1,
        # The fault ends after this many requests; 0 means never.
        'answer_count': 0,
        'delay_s': 1.0,
        # Whether the request runs before it is lost by reset, silent or die.
        'executes': True,
        # Tokens sent before a stream is cut.
        'after_tokens': 2,
        # A status other than 0 refuses requests without running them.
        'refuse_status': 0,
    }
)
ANSWER_KINDS: Final = (
    NORMAL,
    'late',
    'crossed',
    'truncated',
    'silent',
    'silent_open',
    'reset',
    'die',
)
# Kinds after which the caller receives nothing.
LOSSES: Final = ('silent', 'reset', 'die')


class SetFaults:
    """Change some switches and keep the others."""

    __slots__ = ('switches',)

    def __init__(self, switches: Mapping[str, Any]) -> None:
        self.switches = switches


class GetFaults:
    """Ask for the present switches."""

    __slots__ = ()


class Faults:
    """Hold the switches as they were when asked for."""

    __slots__ = ('switches',)

    def __init__(self, switches: Mapping[str, Any]) -> None:
        self.switches = types.MappingProxyType(dict(switches))


class TakeAnswerFault:
    """Ask which fault the next answer has."""

    __slots__ = ('connection_age_s',)

    def __init__(self, connection_age_s: float) -> None:
        self.connection_age_s = connection_age_s


class AnswerFault:
    """Tell the fault of one answer."""

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


class SwapExchange:
    """Leave this exchange and take the one before it."""

    __slots__ = ('content', 'request_id')

    def __init__(self, request_id: str, content: bytes) -> None:
        self.request_id = request_id
        self.content = content


class FaultService:
    """Own the switches, and count requests that receive a fault."""

    __slots__ = ('_clock', '_hits', '_last', '_seen', '_set_s', '_switches')

    def __init__(
        self,
        defaults: Mapping[str, Any],
        clock: Callable[[], float],
    ) -> None:
        self._switches = dict(defaults)
        self._clock = clock
        self._set_s: float = 0
        self._seen = 0
        self._hits = 0
        self._last = SwapExchange('another-request', b'answer to another')

    def set(self, message: SetFaults, reply: Reply) -> None:
        """Change switches; refuse names and values that are not known."""
        error = _check(self._switches, message.switches)
        if error:
            reply.err(ErrorKind.BAD_REQUEST, error)
            return
        self._switches.update(message.switches)
        self._set_s = self._clock()
        self._seen = 0
        self._hits = 0
        reply.ok(Faults(self._switches))

    def get(self, _message: GetFaults, reply: Reply) -> None:
        """Answer with the switches."""
        reply.ok(Faults(self._switches))

    def take(self, message: TakeAnswerFault, reply: Reply) -> None:
        """Answer with the fault of the next answer."""
        kind = self._switches['answer']
        if kind != NORMAL and not self._hit(kind, message.connection_age_s):
            kind = NORMAL
        reply.ok(AnswerFault(kind, self._switches))

    def swap(self, message: SwapExchange, reply: Reply) -> None:
        """Answer with the exchange before this one."""
        reply.ok(self._last)
        self._last = message

    def _hit(self, kind: str, connection_age_s: float) -> bool:
        if kind == 'silent_open':
            return connection_age_s > self._clock() - self._set_s
        limit = self._switches['answer_count']
        self._seen += 1
        if self._seen % self._switches['answer_every'] or (
            limit and self._hits >= limit
        ):
            return False
        self._hits += 1
        return True


def _check(known: Mapping[str, Any], switches: Mapping[str, Any]) -> str:
    unknown = sorted(set(switches) - set(known))
    if unknown:
        return f'unknown switches {unknown}, known are {sorted(known)}'
    kind = switches.get('answer', NORMAL)
    if kind not in ANSWER_KINDS:
        return f'answer is {kind!r}, expected one of {ANSWER_KINDS}'
    if switches.get('answer_every', 1) < 1:
        return 'answer_every must be at least 1'
    return ''


def register_faults(kernel: Kernel, defaults: Mapping[str, Any]) -> list[Route]:
    """Start the service and return the routes that reach it."""
    service = FaultService(defaults, gevent.get_hub().loop.now)
    kernel.register(
        FAULTS,
        {
            SetFaults: service.set,
            GetFaults: service.get,
            TakeAnswerFault: service.take,
            SwapExchange: service.swap,
        },
    )

    def set_page(request: Request) -> Answer:
        message = SetFaults(dict(request.document()))
        return Answer.with_json(dict(ask(kernel, FAULTS, message).switches))

    def get_page(_request: Request) -> Answer:
        return Answer.with_json(dict(ask(kernel, FAULTS, GetFaults()).switches))

    return [('POST', '/faults', set_page), ('GET', '/faults', get_page)]


def current_faults(kernel: Kernel) -> Mapping[str, Any]:
    """Return the present switches."""
    return ask(kernel, FAULTS, GetFaults()).switches


def take_fault(kernel: Kernel, request: Request) -> AnswerFault:
    """Return the fault of the next answer."""
    return ask(kernel, FAULTS, TakeAnswerFault(request.connection_age_s()))


def lose(kind: str, request: Request) -> None:
    """Make the caller receive nothing more, in the way that kind says."""
    if kind == 'die':
        os._exit(1)
    if kind == 'reset':
        request.reset_connection()
    if kind.startswith('silent'):
        gevent.sleep(SILENCE_S)
    request.close_connection()
