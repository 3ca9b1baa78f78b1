"""HTTP reads that are sent again once their response is overdue."""

import contextlib
import time
from typing import Any, Final

import gevent
from gevent.queue import Empty, Queue
from result import Err

from apricotpin.helpers.exchange import Verdict
from apricotpin.helpers.http import HttpRequest, HttpResult, PooledHttpClient

_HEAD_RECEIVED: Final = object()


class HedgeLimits:
    """Limit how long a read may take before it is sent again.

    A read is sent again on a new connection if its response has not begun
    within overdue_s, or is not complete transfer_s after it has begun. It fails
    if no response has begun within timeout_s. overdue_s and timeout_s count
    from the moment up to which the server may hold the response.
    """

    __slots__ = ('overdue_s', 'timeout_s', 'transfer_s')

    def __init__(
        self, overdue_s: float, transfer_s: float, timeout_s: float
    ) -> None:
        self.overdue_s = overdue_s
        self.transfer_s = transfer_s
        self.timeout_s = timeout_s


def call_hedged(
    client: PooledHttpClient,
    request: HttpRequest,
    second: HttpRequest,
    limits: HedgeLimits,
) -> HttpResult:
    """Return the first complete response to a read, of at most two attempts.

    second is the same read for the second attempt, which the server must not
    hold any more.
    """
    race = _Race(client, request, second)
    with contextlib.ExitStack() as stack:
        stack.callback(race.end)
        return race.run(limits)


class _Race:
    """Own the attempts at one read."""

    __slots__ = (
        '_attempts',
        '_begun_s',
        '_client',
        '_events',
        '_request',
        '_running',
        '_second',
    )

    def __init__(
        self,
        client: PooledHttpClient,
        request: HttpRequest,
        second: HttpRequest,
    ) -> None:
        self._client = client
        self._request = request
        self._second = second
        # Holds _HEAD_RECEIVED for a response that has begun, and outcomes.
        self._events: Queue = Queue()
        self._attempts: list[gevent.Greenlet] = []
        self._running = 0
        # When the first response began, on the monotonic clock.
        self._begun_s: float | None = None
        request.on_head = self._note_head
        second.on_head = self._note_head

    def run(self, limits: HedgeLimits) -> HttpResult:
        """Return the first complete response, or the last failure."""
        held_until_s = time.monotonic() + self._request.wait_s
        overdue_s = held_until_s + limits.overdue_s
        self._start(self._request)
        outcome = self._await(overdue_s)
        if outcome is None and self._begun_s is not None:
            outcome = self._await(self._begun_s + limits.transfer_s)
        if outcome is None:
            # What made one connection silent may hold for all that were open.
            self._client.drop_idle()
            self._start(self._second)
            outcome = self._await(held_until_s + limits.timeout_s)
        if outcome is None and self._begun_s is not None:
            # The client limits the time of each attempt.
            outcome = self._await(None)
        return outcome or Err(Verdict.SILENT)

    def end(self) -> None:
        """End the attempts that are still in progress."""
        gevent.killall(self._attempts)

    def _note_head(self) -> None:
        self._events.put(_HEAD_RECEIVED)

    def _start(self, request: HttpRequest) -> None:
        self._running += 1
        self._attempts.append(gevent.spawn(self._attempt, request))

    def _attempt(self, request: HttpRequest) -> None:
        self._events.put(self._client.call(request))

    def _await(self, until_s: float | None) -> HttpResult | None:
        """Return an outcome that ends the race, None if there is none yet."""
        event = self._next_event(until_s)
        while event is _HEAD_RECEIVED or self._is_other_running(event):
            event = self._next_event(until_s)
        return event

    def _next_event(self, until_s: float | None) -> Any:
        wait_s = None
        if until_s is not None:
            wait_s = max(0, until_s - time.monotonic())
        try:
            event = self._events.get(timeout=wait_s)
        except Empty:
            return None
        if event is _HEAD_RECEIVED:
            self._begun_s = self._begun_s or time.monotonic()
        else:
            self._running -= 1
        return event

    def _is_other_running(self, outcome: HttpResult | None) -> bool:
        """Return whether an attempt has failed and another one has not."""
        has_failed = outcome is not None and outcome.is_err()
        return has_failed and self._running > 0
