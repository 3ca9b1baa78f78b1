"""Tasks that run one attempt each, beside a silent one."""

import time

from gevent import Greenlet, GreenletExit, socket
from loguru import logger

from apricotpin.components.gateway import attempts, hedge_decisions
from apricotpin.components.gateway.service import UnregisterRequest
from apricotpin.components.gateway.state import (
    Attempt,
    Hedge,
    RequestContext,
)
from apricotpin.const import SERVICE_GATEWAY
from apricotpin.helpers.exchange import Verdict
from apricotpin.helpers.sockets import wait_readable
from apricotpin.messages.upstreams import SelectedUpstream


def branch_context(context: RequestContext) -> RequestContext:
    """Return a context for an attempt beside the open ones."""
    uncounted = [hedge.attempt for hedge in context.open_attempts.hedges]
    current = context.open_attempts.current
    if current is not None and current.time_to_first_part_s is None:
        # The current attempt is counted when its first part arrives.
        uncounted.append(current)
    instances = tuple(one.upstream.instance_id for one in uncounted)
    branch = RequestContext(
        context.kernel,
        context.codec,
        context.head,
        context.resolved,
        context.body,
        hedge_decisions.copy_with_open(context.progress, instances),
    )
    branch.open_attempts.on_silence = _wait_to_deadline
    return branch


def start_hedge(
    context: RequestContext, branch: RequestContext, upstream: SelectedUpstream
) -> None:
    """Start a task for an attempt in a context of its own."""
    hedge = Hedge(branch, Attempt(upstream))
    branch.open_attempts.current = hedge.attempt
    context.open_attempts.hedges.append(hedge)
    activity = context.open_attempts.activity

    def report_end(_greenlet: Greenlet) -> None:
        activity.set()

    hedge.greenlet = context.kernel.spawn(_run, hedge)
    hedge.greenlet.rawlink(report_end)


def end_hedge(hedge: Hedge, verdict: Verdict) -> None:
    """End a hedge, whether its task runs, has ended or has not begun."""
    hedge.end_verdict.set(verdict)
    hedge.greenlet.kill(block=False)
    # A task that runs ends its attempt itself.
    if hedge.greenlet.ready():
        _release(hedge.context, verdict)


def _run(hedge: Hedge) -> None:
    """Run a hedge up to its first part; end it if it failed or must end."""
    branch, attempt = hedge.context, hedge.attempt
    try:
        attempts.read_first_part(branch, attempt)
    except GreenletExit:
        attempt.verdict = Verdict.SUPERSEDED
    except Exception:
        logger.opt(exception=True).error('hedge_failed')
        attempt.verdict = Verdict.SUPERSEDED
    if hedge.end_verdict.ready():
        _release(branch, hedge.end_verdict.value)
    elif attempt.verdict is not Verdict.ANSWERED:
        _release(branch, attempt.verdict)


def _release(branch: RequestContext, verdict: Verdict) -> None:
    attempts.cancel_attempt(branch, verdict)
    release_memory(branch)


def release_memory(context: RequestContext) -> None:
    """Release the memory that was reserved for a response."""
    context.kernel.send(
        SERVICE_GATEWAY,
        UnregisterRequest(
            context.open_attempts.activity, context.memory.ticket
        ),
    )


def _wait_to_deadline(
    context: RequestContext, connection: socket.socket, deadline_s: float
) -> Verdict | None:
    """Wait until the upstream of a hedge sends bytes, up to the deadline."""
    context.open_attempts.activity.clear()
    wait_s = deadline_s - time.monotonic()
    wait_readable(connection, context.open_attempts.activity, wait_s)
    return None if context.open_attempts.activity.is_set() else Verdict.SILENT
