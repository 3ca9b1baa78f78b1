"""State of a request that is being forwarded and of one attempt at it."""

import uuid
from collections.abc import Callable
from typing import Any

from apricotpin.components.gateway import decisions
from apricotpin.components.gateway.events import EventSplitter
from apricotpin.core import Kernel
from apricotpin.helpers import clocks
from apricotpin.helpers.exchange import Exchange, Verdict
from apricotpin.messages.calls import (
    AnswerHead,
    CallCodec,
    CallHead,
    Resolved,
)
from apricotpin.messages.upstreams import Picked


class Job:
    """Track one request while it is forwarded to upstreams.

    ticket identifies it to the gateway service, which has reserved held_bytes
    of memory for its response.
    """

    __slots__ = (
        'before_send',
        'body',
        'codec',
        'current',
        'head',
        'held_bytes',
        'kernel',
        'progress',
        'resolved',
        'ticket',
    )

    def __init__(
        self,
        kernel: Kernel,
        codec: CallCodec,
        head: CallHead,
        resolved: Resolved,
        body: bytes,
        progress: decisions.Progress,
    ) -> None:
        self.kernel = kernel
        self.codec = codec
        self.head = head
        self.resolved = resolved
        self.body = body
        self.progress = progress
        self.current: Attempt | None = None
        self.ticket = uuid.uuid4().hex
        self.held_bytes = 0
        # Called before each attempt sends the request.
        self.before_send: Callable[[], Any] | None = None


class Attempt:
    """Track one attempt at a request.

    first_part is the whole body, or a stream's first events; waited_s is the
    time from sending the request to that part. A request that is not sent, or
    a stream without an event, by begin_by_s is given up. begin_by_s is a
    reading of the boot-time clock, which counts suspensions; None stands for
    no such deadline.
    """

    __slots__ = (
        'begin_by_s',
        'exchange',
        'first_part',
        'head',
        'picked',
        'sent_s',
        'splitter',
        'verdict',
        'waited_s',
    )

    def __init__(self, picked: Picked) -> None:
        self.picked = picked
        self.begin_by_s: float | None = None
        if picked.begin_within_s is not None:
            self.begin_by_s = clocks.now_s() + picked.begin_within_s
        self.verdict = Verdict.CONNECT_FAILED
        self.exchange: Exchange | None = None
        self.head: AnswerHead | None = None
        self.first_part = b''
        self.sent_s: float = 0
        self.waited_s: float | None = None
        self.splitter: EventSplitter | None = None

    def begin_within_s(self) -> float:
        """Return the time left to start, infinite without a deadline."""
        if self.begin_by_s is None:
            return float('inf')
        return self.begin_by_s - clocks.now_s()

    @property
    def sent(self) -> bool:
        """Return whether a byte of the request was sent."""
        return self.exchange is not None and self.exchange.sent
