"""One request on its way through upstreams, and one attempt at it."""

import uuid
from collections.abc import Callable
from typing import Any

from apricotpin.components.gateway import decisions
from apricotpin.components.gateway.events import EventSplitter
from apricotpin.core import Kernel
from apricotpin.helpers import clocks
from apricotpin.helpers.exchange import Exchange, Verdict
from apricotpin.messages.requests import (
    CallCodec,
    RequestHead,
    ResolvedRequest,
    ResponseHead,
)
from apricotpin.messages.upstreams import SelectedUpstream


class Job:
    """Own one request on its way through upstreams.

    ticket names it to the gateway service, which has granted held_bytes for
    its answer.
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
        self.current: Attempt | None = None
        self.ticket = uuid.uuid4().hex
        self.held_bytes = 0
        # Called each time before the request is sent to an upstream.
        self.before_send: Callable[[], Any] | None = None


class Attempt:
    """Own one attempt; first_part is the body, or a stream's first events.

    waited_s is the time from sending the request to that part. What has not
    begun by begin_by_s, by the clock that counts suspensions, must not run;
    None where any time will do.
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

    def __init__(self, picked: SelectedUpstream) -> None:
        self.picked = picked
        self.begin_by_s: float | None = None
        if picked.start_timeout_s is not None:
            self.begin_by_s = clocks.boot_time_s() + picked.start_timeout_s
        self.verdict = Verdict.CONNECT_FAILED
        self.exchange: Exchange | None = None
        self.head: ResponseHead | None = None
        self.first_part = b''
        self.sent_s: float = 0
        self.waited_s: float | None = None
        self.splitter: EventSplitter | None = None

    def begin_within_s(self) -> float:
        """Return how long the attempt may take to begin, or any time."""
        if self.begin_by_s is None:
            return float('inf')
        return self.begin_by_s - clocks.boot_time_s()

    @property
    def sent(self) -> bool:
        """Tell whether a byte of the request was sent."""
        return self.exchange is not None and self.exchange.sent
