"""Own the upstreams, the attempts in progress and the retry budget."""

import random

import gevent
from result import Err, Result

from apricotpin.components.dispatch import (
    budget,
    connections,
    const,
    decisions,
    versions,
)
from apricotpin.components.dispatch.state import (
    DispatchState,
    Upstream,
)
from apricotpin.components.dispatch.waiting import (
    ExpireWaiters,
    Waiter,
    by_urgency,
    split_expired,
)
from apricotpin.const import SERVICE_DISPATCH
from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers import clocks
from apricotpin.helpers.backoff import jittered_backoff
from apricotpin.helpers.exchange import Verdict
from apricotpin.helpers.metrics import count, count_retry
from apricotpin.messages import fleet, upstreams


class CloseIdleConnections:
    """Close the connections that have been idle for too long."""

    __slots__ = ()


class DispatchService:
    """Own the upstreams, the attempts in progress and the retry budget.

    All times are of the clock that counts suspensions: the bounds of versions
    and the age of reports do not stand still with the host.
    """

    __slots__ = ('_kernel', '_rest_s', '_state', '_waiters')

    def __init__(self, kernel: Kernel, state: DispatchState) -> None:
        self._kernel = kernel
        self._state = state
        self._waiters: list[Waiter] = []
        self._rest_s = jittered_backoff(
            const.REST_FIRST_S,
            const.REST_LONGEST_S,
            random.random,
        )

    def list_upstream(
        self,
        message: upstreams.UpstreamListed,
        reply: Reply,
    ) -> None:
        """Take an entry; a new start or address makes it another upstream."""
        entry = message.entry
        known = self._state.upstreams.get(entry.instance_id)
        same = known is not None and (
            known.entry.started_ms == entry.started_ms
            and known.address == entry.address
        )
        if same:
            known.entry = entry
        else:
            self._forget(entry.instance_id)
            self._state.upstreams[entry.instance_id] = Upstream(entry)
        self._serve_waiters()
        reply.ok()

    def unlist_upstream(
        self,
        message: upstreams.UpstreamUnlisted,
        reply: Reply,
    ) -> None:
        """Send nothing more to an upstream that is gone."""
        self._forget(message.instance_id)
        reply.ok()

    def take_report(self, message: fleet.LoadReport, reply: Reply) -> None:
        """Take an agent's report on the worker at its address."""
        now_s = clocks.boot_time_s()
        for upstream in self._state.upstreams.values():
            if upstream.address == message.address:
                decisions.note_report(upstream, message, now_s)
        self._serve_waiters()
        reply.ok()

    def pick(self, message: upstreams.SelectUpstream, reply: Reply) -> None:
        """Answer with an upstream, or wait for one as long as allowed."""
        outcome = self._pick(message)
        waits = (
            outcome.is_err()
            and message.queue_timeout_s > 0
            and outcome.err_value.kind is ErrorKind.OVERLOADED
            and len(self._waiters) < const.WAITERS_MAX
        )
        if not waits:
            reply.forward(outcome)
            return
        until_s = clocks.boot_time_s() + message.queue_timeout_s
        self._waiters.append(Waiter(message, reply, until_s))
        gevent.spawn_later(
            message.queue_timeout_s,
            self._kernel.send,
            SERVICE_DISPATCH,
            ExpireWaiters(),
        )

    def expire_waiters(self, _message: ExpireWaiters, reply: Reply) -> None:
        """Refuse the requests that have waited long enough."""
        waiting, expired = split_expired(self._waiters, clocks.boot_time_s())
        self._waiters = waiting
        for waiter in expired:
            waiter.reply.forward(self._pick(waiter.message))
        reply.ok()

    def end_attempt(
        self,
        message: upstreams.AttemptDone,
        reply: Reply,
    ) -> None:
        """Take back an upstream and keep its connection."""
        upstream = self._state.release(message.ticket)
        if upstream is None:
            connections.close(message.connection)
            reply.ok()
            return
        now_s = clocks.boot_time_s()
        verdict = Verdict(message.verdict)
        decisions.note_verdict(upstream, verdict, now_s, self._rest_s)
        if verdict is Verdict.MISDIRECTED:
            # Another worker has the address; the entry is out of date.
            self._forget(message.instance_id)
        connections.keep(upstream.idle, message, now_s)
        self._serve_waiters()
        reply.ok()

    def cancel_pick(
        self,
        message: upstreams.CancelSelection,
        reply: Reply,
    ) -> None:
        """Forget a question, and take back the upstream if it was answered."""
        self._waiters = [
            waiter
            for waiter in self._waiters
            if waiter.message.ticket != message.ticket
        ]
        self._state.release(message.ticket)
        self._serve_waiters()
        reply.ok()

    def close_idle(self, _message: CloseIdleConnections, reply: Reply) -> None:
        """Close the connections that may not be used again."""
        now_s = clocks.boot_time_s()
        for upstream in self._state.upstreams.values():
            connections.close_overdue(upstream.idle, now_s)
        reply.ok()

    def _pick(
        self,
        message: upstreams.SelectUpstream,
    ) -> Result[upstreams.SelectedUpstream, Failure]:
        now_s = clocks.boot_time_s()
        window = self._state.window(message.service)
        retries = bool(message.retry_reason)
        if retries and not budget.may_retry(self._state, window, now_s):
            detail = f'the retries of {message.service} are used up'
            return Err(Failure(ErrorKind.RETRY_BUDGET_EMPTY, detail))
        chosen = decisions.choose(
            self._state,
            message.service,
            message.tried,
            now_s,
            random.random,
            message.is_resumed,
        )
        if chosen.is_ok():
            budget.note_sent(window, now_s)
        if chosen.is_ok() and retries:
            budget.note_arrival(window, True, now_s)
            count_retry(self._kernel, message.retry_reason)
        return chosen.map(
            lambda upstream: self._take(upstream, message.ticket, now_s),
        )

    def _take(
        self,
        upstream: Upstream,
        ticket: str,
        now_s: float,
    ) -> upstreams.SelectedUpstream:
        load = decisions.load_of(upstream, now_s)
        engine = self._state.engine_of(upstream.entry.service)
        version = 0
        if engine is not None:
            version = versions.version_of(upstream, engine, now_s)
        begin_by_s = versions.begin_by_s(self._state, upstream, now_s)
        self._state.take(ticket, upstream)
        connection = connections.take(upstream.idle, now_s)
        if connection is None:
            count(self._kernel, 'upstream_connections_total')
        return upstreams.SelectedUpstream(
            upstream.entry.instance_id,
            upstream.address,
            connection,
            version,
            load,
            now_s - upstream.reported_s,
            ticket,
            None if begin_by_s is None else begin_by_s - now_s,
            versions.behind_s(self._state, upstream, now_s),
            upstream.entry.data_centre,
        )

    def _serve_waiters(self) -> None:
        for waiter in by_urgency(self._waiters):
            outcome = self._pick(waiter.message)
            if outcome.is_err():
                # All that wait now find the same workers full.
                break
            self._waiters.remove(waiter)
            waiter.reply.forward(outcome)

    def _forget(self, instance_id: str) -> None:
        upstream = self._state.upstreams.pop(instance_id, None)
        if upstream is not None:
            connections.close_overdue(upstream.idle, float('inf'))
