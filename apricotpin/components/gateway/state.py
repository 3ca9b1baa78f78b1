"""State of a request that is being forwarded and of one attempt at it."""

import functools
import uuid
from collections.abc import Callable
from typing import Any

from gevent import Greenlet, socket
from gevent.event import AsyncResult, Event

from apricotpin.components.gateway import decisions
from apricotpin.components.gateway.events import EventSplitter
from apricotpin.core import Kernel
from apricotpin.helpers import clocks
from apricotpin.helpers.exchange import Exchange, Verdict
from apricotpin.messages.requests import (
    ResponseHead,
    CallCodec,
    RequestHead,
    ResolvedRequest,
)
from apricotpin.messages.upstreams import SelectedUpstream


class ResponseMemory:
    """Track the memory that the gateway service granted under a ticket."""

    __slots__ = ('reserved_bytes', 'ticket')

    def __init__(self) -> None:
        self.ticket = uuid.uuid4().hex
        self.reserved_bytes = 0


class Hedge:
    """Track an attempt that runs in its own task beside a silent one.

    The task owns context and attempt until it ends. It ends the attempt itself
    if the request has sent it a verdict for that by end_verdict.
    """

    __slots__ = ('attempt', 'context', 'end_verdict', 'greenlet')

    def __init__(self, context: 'RequestContext', attempt: 'Attempt') -> None:
        self.context = context
        self.attempt = attempt
        self.end_verdict = AsyncResult()
        self.greenlet: Greenlet | None = None


class OpenAttempts:
    """Track the attempts at a request that are in progress.

    current is the one that the request's task runs; on_silence is called when
    its upstream is silent. Another upstream is asked for at ask_at_s, a reading
    of the monotonic clock, 0 without a silence. is_silence_reported: dispatch
    knows of the silence. silent_since_s is when the
    current attempt was sent, or when the last events were passed on. activity
    is set when a hedge ends or a silent connection can be read.
    """

    __slots__ = (
        'activity',
        'ask_at_s',
        'current',
        'hedges',
        'is_silence_reported',
        'on_silence',
        'silent_since_s',
    )

    def __init__(self) -> None:
        self.current: Attempt | None = None
        self.hedges: list[Hedge] = []
        self.activity = Event()
        self.ask_at_s: float = 0
        self.is_silence_reported = False
        self.silent_since_s: float = 0
        self.on_silence: OnSilence | None = None

    def forget_silence(self) -> None:
        """Forget a silence that has ended."""
        self.ask_at_s = 0
        self.is_silence_reported = False


class RequestContext:
    """Track one request while it is forwarded to upstreams."""

    __slots__ = (
        'before_send',
        'body',
        'codec',
        'head',
        'kernel',
        'memory',
        'open_attempts',
        'progress',
        'resolved',
    )

    def __init__(
        self,
        kernel: Kernel,
        codec: CallCodec,
        head: RequestHead,
        resolved: ResolvedRequest,
        body: bytes,
        progress: decisions.Progress,
    ) -> None:
        self.kernel = kernel
        self.codec = codec
        self.head = head
        self.resolved = resolved
        self.body = body
        self.progress = progress
        self.open_attempts = OpenAttempts()
        self.memory = ResponseMemory()
        # Called before each attempt sends the request.
        self.before_send: Callable[[], Any] | None = None

    def handle_silence(self, exchange: Exchange) -> None:
        """Count a silence of an exchange from now on, and handle the next."""
        exchange.set_silence_handler(
            functools.partial(self.open_attempts.on_silence, self)
        )


class Attempt:
    """Track one attempt at a request.

    first_part is the whole body, or a stream's first events;
    time_to_first_part_s is the time from sending the request to that part.
    The attempt ends if by start_deadline_s its request is not sent or its
    stream has no event. start_deadline_s is a reading of the boot-time clock,
    which counts suspensions; None stands for no such deadline.
    """

    __slots__ = (
        'exchange',
        'first_part',
        'head',
        'is_prompt_reported',
        'sent_s',
        'splitter',
        'start_deadline_s',
        'time_to_first_part_s',
        'upstream',
        'verdict',
    )

    def __init__(self, upstream: SelectedUpstream) -> None:
        self.upstream = upstream
        self.start_deadline_s: float | None = None
        if upstream.start_timeout_s is not None:
            self.start_deadline_s = (
                clocks.boot_time_s() + upstream.start_timeout_s
            )
        self.verdict = Verdict.CONNECT_FAILED
        self.exchange: Exchange | None = None
        self.head: ResponseHead | None = None
        self.first_part = b''
        self.sent_s: float = 0
        self.time_to_first_part_s: float | None = None
        self.splitter: EventSplitter | None = None
        self.is_prompt_reported = False

    def time_left_to_start_s(self) -> float:
        """Return the time left to start, infinite without a deadline."""
        if self.start_deadline_s is None:
            return float('inf')
        return self.start_deadline_s - clocks.boot_time_s()

    @property
    def sent(self) -> bool:
        """Return whether a byte of the request was sent."""
        return self.exchange is not None and self.exchange.sent


# Waits on the connection of a silent attempt, up to a deadline. Returns None
# once bytes can be read, or the verdict that ends the attempt.
OnSilence = Callable[[RequestContext, socket.socket, float], Verdict | None]
