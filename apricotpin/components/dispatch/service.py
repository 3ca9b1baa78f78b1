"""Service that selects upstreams and tracks the attempts at them."""

import random

import gevent
from loguru import logger
from result import Err, Result

from apricotpin.components.dispatch import (
    budget,
    connections,
    const,
    decisions,
    health,
    load,
    versions,
)
from apricotpin.components.dispatch.state import DispatchState
from apricotpin.components.dispatch.upstream import Upstream
from apricotpin.components.dispatch.waiting import (
    ExpireWaiters,
    Waiter,
    WaitingRequests,
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
    """Ask dispatch to close the connections that have expired."""

    __slots__ = ()


class DispatchService:
    """Own the upstreams, the attempts in progress and the waiting requests.

    All times are on the boot-time clock, which counts suspensions: version
    deadlines and the age of reports go on while the host is suspended.
    """

    __slots__ = ('_backoff_s', '_kernel', '_state', '_waiters')

    def __init__(self, kernel: Kernel, state: DispatchState) -> None:
        self._kernel = kernel
        self._state = state
        self._waiters = WaitingRequests()
        self._backoff_s = jittered_backoff(
            const.BACKOFF_FIRST_S,
            const.BACKOFF_MAX_S,
            random.random,
        )

    def add_upstream(
        self,
        message: upstreams.UpstreamListed,
        reply: Reply,
    ) -> None:
        """Add or update an upstream; a restarted or moved one is added anew."""
        entry = message.entry
        known = self._state.upstreams.get(entry.instance_id)
        if known is None:
            known = self._state.removed.pop(entry.instance_id, None)
        if known is None or not health.is_same_worker(known.entry, entry):
            self._close_and_drop(entry.instance_id)
            known = Upstream(entry)
        self._state.upstreams.remove(entry.instance_id)
        known.entry = entry
        self._state.upstreams.add(known)
        self._serve_waiters(entry.service)
        reply.ok()

    def remove_upstream(
        self,
        message: upstreams.UpstreamUnlisted,
        reply: Reply,
    ) -> None:
        """Remove an upstream that is unlisted, so that it gets no more work."""
        self._remove(message.instance_id)
        reply.ok()

    def record_report(self, message: fleet.LoadReport, reply: Reply) -> None:
        """Record a load report on the worker at its address."""
        now_s = clocks.boot_time_s()
        for upstream in self._state.upstreams.at_address(message.address):
            health.record_report(upstream, message, now_s)
            self._serve_waiters(upstream.entry.service)
        reply.ok()

    def select_upstream(
        self, message: upstreams.SelectUpstream, reply: Reply
    ) -> None:
        """Reply with an upstream, or wait up to queue_timeout_s for one."""
        outcome = self._select(message)
        may_wait = (
            outcome.is_err()
            and decisions.may_wait(outcome.err_value, message.queue_timeout_s)
            and len(self._waiters) < const.WAITERS_MAX
        )
        if not may_wait:
            reply.forward(outcome)
            return
        expires_s = clocks.boot_time_s() + message.queue_timeout_s
        self._waiters.add(Waiter(message, reply, expires_s))
        gevent.spawn_later(
            message.queue_timeout_s,
            self._kernel.send,
            SERVICE_DISPATCH,
            ExpireWaiters(),
        )

    def expire_waiters(self, _message: ExpireWaiters, reply: Reply) -> None:
        """Reply to the requests whose wait has expired, after a last try."""
        for waiter in self._waiters.pop_expired(clocks.boot_time_s()):
            waiter.reply.forward(self._select(waiter.message))
        reply.ok()

    def record_availability(
        self, message: upstreams.AvailabilityStated, reply: Reply
    ) -> None:
        """Record that the upstream of an attempt leaves or wants a pause."""
        upstream = self._state.find_upstream(message.ticket)
        if upstream is None:
            reply.ok()
            return
        now_s = clocks.boot_time_s()
        if message.is_leaving and not upstream.availability.is_leaving:
            count(self._kernel, 'upstreams_leaving_total')
            logger.bind(
                instance=upstream.entry.instance_id,
                service=upstream.entry.service,
                source='response',
            ).info('upstream_leaving')
        if message.pause_s:
            count(self._kernel, 'upstream_pauses_total')
            logger.bind(
                instance=upstream.entry.instance_id,
                service=upstream.entry.service,
                pause_ms=int(message.pause_s * 1000),
            ).info('upstream_paused')
        health.record_availability(
            upstream, message.is_leaving, message.pause_s, now_s
        )
        if upstream.availability.is_leaving:
            connections.close_expired(upstream.idle_connections, float('inf'))
        reply.ok()

    def record_silence(
        self, message: upstreams.AttemptSilent, reply: Reply
    ) -> None:
        """Count a silence as a failure while its attempt goes on.

        A worker that hangs would otherwise be selected until the attempt ends,
        and not count as failed if the callers leave before.
        """
        upstream = self._state.find_upstream(message.ticket)
        if upstream is not None:
            health.record_verdict(
                upstream,
                Verdict.SILENT,
                clocks.boot_time_s(),
                self._backoff_s,
            )
        reply.ok()

    def end_attempt(
        self,
        message: upstreams.AttemptDone,
        reply: Reply,
    ) -> None:
        """Record how an attempt ended, and keep its connection for reuse."""
        upstream = self._state.end_attempt(message.ticket)
        if upstream is None:
            connections.close(message.connection)
            reply.ok()
            return
        now_s = clocks.boot_time_s()
        verdict = Verdict(message.verdict)
        health.record_verdict(upstream, verdict, now_s, self._backoff_s)
        if verdict is Verdict.MISDIRECTED:
            # Another worker uses the address now, so the entry is out of date.
            self._remove(message.instance_id)
        known = self._state.upstreams.get(upstream.entry.instance_id)
        if known is upstream and not upstream.availability.is_leaving:
            connections.release(upstream.idle_connections, message, now_s)
        else:
            # Nothing would close the connection later.
            connections.close(message.connection)
        self._serve_waiters(upstream.entry.service)
        reply.ok()

    def cancel_selection(
        self,
        message: upstreams.CancelSelection,
        reply: Reply,
    ) -> None:
        """Stop a selection from waiting, or end its attempt if it succeeded."""
        self._waiters.cancel(message.ticket)
        upstream = self._state.end_attempt(message.ticket)
        if upstream is not None:
            self._serve_waiters(upstream.entry.service)
        reply.ok()

    def close_expired(
        self, _message: CloseIdleConnections, reply: Reply
    ) -> None:
        """Close expired idle connections and forget removed upstreams."""
        now_s = clocks.boot_time_s()
        health.forget_removed(self._state, now_s)
        for upstream in self._state.upstreams:
            connections.close_expired(upstream.idle_connections, now_s)
        reply.ok()

    def _select(
        self,
        message: upstreams.SelectUpstream,
    ) -> Result[upstreams.SelectedUpstream, Failure]:
        now_s = clocks.boot_time_s()
        window = self._state.get_window(message.service)
        is_retry = bool(message.retry_reason)
        if is_retry and not budget.may_retry(self._state, window, now_s):
            detail = (
                f'retry budget of {message.service} is used up; reason of the '
                f'retry: {message.retry_reason}'
            )
            return Err(Failure(ErrorKind.RETRY_BUDGET_EMPTY, detail))
        selected = decisions.select_upstream(
            self._state,
            message.service,
            message.tried,
            now_s,
            random.random,
            message.is_resumed,
        )
        if selected.is_ok():
            budget.record_selection(window, now_s)
        if selected.is_ok() and is_retry:
            budget.record_request(window, True, now_s)
            count_retry(self._kernel, message.retry_reason)
        return selected.map(
            lambda upstream: self._start_attempt(
                upstream, message.ticket, now_s
            ),
        )

    def _start_attempt(
        self,
        upstream: Upstream,
        ticket: str,
        now_s: float,
    ) -> upstreams.SelectedUpstream:
        in_flight = load.estimate_load(upstream, now_s)
        engine = self._state.get_engine(upstream.entry.service)
        version = 0
        if engine is not None:
            version = versions.get_loaded_version(upstream, engine, now_s)
        start_deadline_s = versions.get_start_deadline_s(
            self._state, upstream, now_s
        )
        self._state.start_attempt(ticket, upstream)
        connection = connections.acquire(upstream.idle_connections, now_s)
        if connection is None:
            count(self._kernel, 'upstream_connections_total')
        return upstreams.SelectedUpstream(
            upstream.entry.instance_id,
            upstream.entry.address,
            connection,
            version,
            in_flight,
            now_s - upstream.report_received_s,
            ticket,
            None if start_deadline_s is None else start_deadline_s - now_s,
            versions.get_outdated_for_s(self._state, upstream, now_s),
            upstream.entry.data_centre,
            upstream.entry.started_ms,
        )

    def _serve_waiters(self, service: str) -> None:
        for waiter in self._waiters.by_priority(service):
            outcome = self._select(waiter.message)
            if outcome.is_ok():
                self._waiters.remove(waiter)
                waiter.reply.forward(outcome)
            elif waiter.may_use_any_upstream:
                # The remaining requests would find the same upstreams full.
                break

    def _remove(self, instance_id: str) -> None:
        upstream = self._close_and_drop(instance_id)
        if upstream is not None:
            health.remember_removed(self._state, upstream, clocks.boot_time_s())

    def _close_and_drop(self, instance_id: str) -> Upstream | None:
        upstream = self._state.upstreams.remove(instance_id)
        if upstream is not None:
            connections.close_expired(upstream.idle_connections, float('inf'))
        return upstream
