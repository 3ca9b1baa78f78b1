"""State of a request that is being forwarded and of one attempt at it."""

import uuid
from collections.abc import Callable
from typing import Any

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


class RequestContext:
    """Track one request while it is forwarded to upstreams.

    ticket identifies it to the gateway service, which has granted
    reserved_bytes of memory for its response.
    """

    __slots__ = (
        'before_send',
        'body',
        'codec',
        'current_attempt',
        'head',
        'kernel',
        'progress',
        'reserved_bytes',
        'resolved',
        'ticket',
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
        self.current_attempt: Attempt | None = None
        self.ticket = uuid.uuid4().hex
        self.reserved_bytes = 0
        # Called before each attempt sends the request.
        self.before_send: Callable[[], Any] | None = None


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
