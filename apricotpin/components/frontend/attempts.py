"""Attempts: select an upstream, send the request, check the response."""

import time
from http import HTTPStatus
from typing import Any, Final

import gevent
from result import Err, Ok, Result

from apricotpin.components.frontend import decisions
from apricotpin.components.frontend.const import (
    ANSWER_BODY_MAX_BYTES,
    ATTEMPTS_MAX,
    CONTENT_TYPE_EVENTS,
    HEADER_MODEL_VERSION,
    HEADER_REQUEST_ID,
    RESTING_WAITS_MAX,
)
from apricotpin.helpers.exchange import Exchange, connect
from apricotpin.components.frontend.job import Job
from apricotpin.components.frontend.streams import EventStream
from apricotpin.components.frontend.trials import Opened, Trial
from apricotpin.components.frontend.verdicts import (
    Attempt,
    Freshness,
    Verdict,
)
from apricotpin.const import SERVICE_FRONTEND, SERVICE_ROUTER
from apricotpin.errors import ErrorKind, Failure
from apricotpin.messages.routing import (
    HEALTH_UNJUDGED,
    AttemptEnded,
    ChooseUpstream,
    Chosen,
    DropConnections,
    KeepConnection,
    TakeConnection,
)

_BUSY_STATUSES: Final = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE),
)
_WHOLE: Final = frozenset((Verdict.ANSWERED, Verdict.BUSY))
_DONE_LINE: Final = b'data: [DONE]'


def choose(job: Job, retry_reason: str = '') -> Result[Chosen, Failure]:
    """Ask the router for an upstream; wait while all are in back-off."""
    for _ in range(RESTING_WAITS_MAX):
        wanted = ChooseUpstream(
            job.ticket,
            job.version,
            tuple(job.tried),
            retry_reason,
        )
        answered = job.kernel.call(SERVICE_ROUTER, wanted)
        if answered.is_err():
            refusal = answered.err_value
            return Err(decisions.failure_of_choice(job.progress, refusal))
        if isinstance(answered.ok_value, Chosen):
            return answered
        wait_s = answered.ok_value.wait_s
        if time.monotonic() + wait_s >= job.progress.deadline_s:
            break
        gevent.sleep(wait_s)
    refusal = Failure(ErrorKind.NO_UPSTREAM, 'all upstreams are in back-off')
    return Err(decisions.failure_of_choice(job.progress, refusal))


def try_upstream(
    job: Job,
    chosen: Chosen,
    may_reuse: bool,
) -> Result[Trial, Failure]:
    """Make one attempt; return a failure if the request was not sent at all.

    The failure is that of the selection. An attempt that failed is returned
    as an attempt.
    """
    opened = _open(job, chosen, may_reuse)
    if opened.is_err():
        return opened
    chosen, used = opened.ok_value.chosen, opened.ok_value.exchange
    job.tried.append(chosen.host_id)
    if used is None:
        trial = Trial(Attempt(Verdict.CONNECT_FAILED, sent=False))
    else:
        trial = _exchange(job, chosen, used)
    decisions.note_attempt(job.progress, trial.attempt)
    if trial.stream is None:
        end_attempt(job, chosen, trial)
    return Ok(trial)


def end_attempt(job: Job, chosen: Chosen, trial: Trial) -> None:
    """Report an attempt's end to the router; keep or close its connection."""
    health = decisions.health_of(trial.attempt)
    job.kernel.call(SERVICE_ROUTER, AttemptEnded(job.ticket, health))
    if trial.exchange is None:
        return
    if trial.attempt.verdict in _WHOLE:
        _keep_connection(job, chosen.address, trial.exchange)
        return
    trial.exchange.close()
    dropped = DropConnections(chosen.address)
    job.kernel.send(SERVICE_FRONTEND, dropped)


def _keep_connection(job: Job, address: str, used: Exchange) -> None:
    # Without an echoed request id, a late response to an earlier request could
    # not be told from the response to the next one.
    echoes = job.admitted.service.echoes_request_id
    connection = used.release() if echoes else None
    if connection is None:
        used.close()
        return
    kept = KeepConnection(address, connection)
    if job.kernel.send(SERVICE_FRONTEND, kept).is_err():
        connection.close()


def _open(
    job: Job,
    chosen: Chosen,
    may_reuse: bool,
) -> Result[Opened, Failure]:
    for _ in range(ATTEMPTS_MAX):
        used = _connect(job, chosen.address, may_reuse)
        fresh = decisions.check_freshness(
            chosen.checked_s,
            job.progress.deadline_s,
            time.monotonic(),
        )
        if used is None or fresh is Freshness.SEND:
            return Ok(Opened(chosen, used))
        used.close()
        if fresh is Freshness.TOO_LATE:
            break
        again = choose(job)
        if again.is_err():
            return again
        chosen = again.ok_value
    _give_up_host(job)
    refusal = Failure(
        ErrorKind.NOT_RUN, 'the request could not be sent in time'
    )
    return Err(decisions.failure_of_choice(job.progress, refusal))


def _connect(job: Job, address: str, may_reuse: bool) -> Exchange | None:
    connection = _take_idle(job, address) if may_reuse else None
    reused = connection is not None
    if connection is None:
        connection = connect(address, job.progress.deadline_s)
    if connection is None:
        return None
    return Exchange(
        connection,
        job.caller.method,
        job.admitted.service.silent_s,
        job.progress.deadline_s,
        reused,
    )


def _give_up_host(job: Job) -> None:
    ended = AttemptEnded(job.ticket, HEALTH_UNJUDGED)
    job.kernel.call(SERVICE_ROUTER, ended)


def _take_idle(job: Job, address: str) -> Any:
    taken = job.kernel.call(SERVICE_FRONTEND, TakeConnection(address))
    return taken.unwrap_or(None)


def _exchange(job: Job, chosen: Chosen, used: Exchange) -> Trial:
    hop = job.next_hop_id()
    failed = used.send(job.encode(chosen.address, hop)) or used.read_head()
    if not failed:
        failed = _check_head(job, used, hop)
    if failed:
        return _failed(used, failed)
    if _is_stream(job, used):
        return _begin_stream(job, chosen, used)
    return _read_plain(job, used)


def _failed(used: Exchange, verdict: Verdict) -> Trial:
    return Trial(Attempt(verdict, used.sent, used.reused), used)


def _check_head(job: Job, used: Exchange, hop: str) -> Verdict | None:
    echoed = used.parser.header(HEADER_REQUEST_ID)
    echoes = job.admitted.service.echoes_request_id
    if not decisions.check_identity(hop, echoed, echoes):
        return Verdict.CROSSED
    if not job.is_model or used.parser.status_code >= HTTPStatus.BAD_REQUEST:
        return None
    version = used.parser.header(HEADER_MODEL_VERSION)
    if version and decisions.check_version(job.version, version):
        return None
    return Verdict.WRONG_VERSION


def _is_stream(job: Job, used: Exchange) -> bool:
    return job.progress.idempotent and _carries_events(used)


def _carries_events(used: Exchange) -> bool:
    if used.parser.status_code != HTTPStatus.OK:
        return False
    return used.parser.header('Content-Type').startswith(CONTENT_TYPE_EVENTS)


def _begin_stream(job: Job, chosen: Chosen, used: Exchange) -> Trial:
    stream = EventStream(used, chosen, job.position)
    failed = stream.fill()
    if failed:
        return _failed(used, failed)
    attempt = Attempt(Verdict.ANSWERED, used.sent, used.reused)
    return Trial(attempt, used, stream=stream)


def _read_plain(job: Job, used: Exchange) -> Trial:
    status = used.parser.status_code
    refused = job.rule is not None and status in job.rule.not_run_statuses
    body = used.read_body(ANSWER_BODY_MAX_BYTES)
    verdict = body.err_value if body.is_err() else Verdict.ANSWERED
    if _carries_events(used) and _DONE_LINE not in body.unwrap_or(b''):
        verdict = Verdict.TRUNCATED
    busy = job.progress.idempotent and status in _BUSY_STATUSES
    if refused or (busy and body.is_ok()):
        verdict = Verdict.BUSY
    attempt = Attempt(verdict, used.sent, used.reused, refused)
    return Trial(attempt, used, body.unwrap_or(b''))
