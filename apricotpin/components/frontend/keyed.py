"""Requests that run at most once, under a claimed idempotency key."""

import time

import gevent
from loguru import logger
from result import Err, Ok, Result

from apricotpin.components.frontend import answers, decisions, refusals
from apricotpin.components.frontend.attempts import run_attempt, select_upstream
from apricotpin.components.frontend.callers import CallerRequest, CallerResponse
from apricotpin.components.frontend.const import (
    OUTCOME_LOOKUP_TIMEOUT_S,
    REPORT_ATTEMPTS_MAX,
    REPORT_PAUSE_S,
    RUNNING_POLL_PERIOD_S,
    RUNNING_WAIT_MAX_S,
)
from apricotpin.components.frontend.decision_types import Verdict
from apricotpin.components.frontend.request_context import RequestContext
from apricotpin.const import SERVICE_CLAIMS
from apricotpin.core import Kernel
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.hashing import digest_hex
from apricotpin.messages.claims import (
    Claim,
    ClaimAnswer,
    FindOutcome,
    LookUpOutcome,
    Outcome,
    RecordOutcome,
    ReportOutcome,
    RequestClaim,
)
from apricotpin.messages.routing import Selected
from apricotpin.messages.verdicts import RUNNING


def run_with_key(
    context: RequestContext, host_id: str
) -> Result[CallerResponse, Failure]:
    """Claim the idempotency key and send the request at most once.

    The request uses a new connection, since the failure of an idle one would
    leave open whether the request ran.
    """
    if not context.caller.key:
        detail = (
            f'{context.caller.method} {context.caller.path} is not idempotent '
            f'and has no Idempotency-Key header'
        )
        return Err(Failure(ErrorKind.KEY_REQUIRED, detail))
    # Select first: a key must not be claimed if no upstream is available.
    selected = select_upstream(context)
    if selected.is_err():
        return selected
    claimed = _claim_and_wait(context, host_id)
    if claimed.is_err():
        return claimed
    stored = answers.make_stored_response(claimed.ok_value)
    if stored is not None:
        return Ok(stored)
    kind = refusals.claim_failure_kind(claimed.ok_value.verdict)
    if kind is not None:
        return Err(Failure(kind, claimed.ok_value.detail))
    return _send(context, selected.ok_value)


def look_up_outcome(
    kernel: Kernel,
    caller: CallerRequest,
) -> Result[CallerResponse, Failure]:
    """Return the stored outcome of an idempotency key."""
    key = caller.path.removeprefix('/')
    find = FindOutcome(caller.workspace, caller.service_name, key)
    reply = kernel.call(
        SERVICE_CLAIMS, LookUpOutcome(find), OUTCOME_LOOKUP_TIMEOUT_S
    )
    if reply.is_err():
        return reply.map_err(_map_claims_failure)
    found: ClaimAnswer = reply.ok_value
    stored = answers.make_stored_response(found)
    if stored is not None:
        return Ok(stored)
    kind = refusals.claim_failure_kind(found.verdict)
    return Err(Failure(kind or ErrorKind.OUTCOME_UNKNOWN, found.detail))


def _claim_and_wait(
    context: RequestContext, host_id: str
) -> Result[ClaimAnswer, Failure]:
    """Claim the key; wait for the outcome if a request with it is running.

    Without the wait, a caller that repeats a key at once would receive an
    unknown outcome while the record is on its way to the log.
    """
    deadline_s = time.monotonic() + RUNNING_WAIT_MAX_S
    while True:
        claimed = _request_claim(context, host_id)
        if claimed.is_err() or claimed.ok_value.verdict != RUNNING:
            return claimed
        if time.monotonic() + RUNNING_POLL_PERIOD_S > deadline_s:
            return claimed
        gevent.sleep(RUNNING_POLL_PERIOD_S)


def _request_claim(
    context: RequestContext, host_id: str
) -> Result[ClaimAnswer, Failure]:
    caller = context.caller
    method, target = caller.method.encode(), caller.target().encode()
    claim = Claim(
        caller.workspace,
        caller.service_name,
        caller.key,
        digest_hex(b'\x00'.join([method, target, context.body])),
        host_id,
    )
    timeout_s = context.admitted.claim_timeout_s
    reply = context.kernel.call(SERVICE_CLAIMS, RequestClaim(claim), timeout_s)
    return reply.map_err(_map_claims_failure)


def _send(
    context: RequestContext, upstream: Selected
) -> Result[CallerResponse, Failure]:
    attempted = run_attempt(context, upstream, may_reuse=False)
    if attempted.is_err():
        return Err(_close_key(context, attempted.err_value))
    attempt = attempted.ok_value
    if attempt.summary.verdict is Verdict.ANSWERED:
        _report_outcome(context, answers.make_outcome(attempt))
        return Ok(answers.make_complete_response(context, attempt))
    failure = decisions.non_idempotent_failure(attempt.summary)
    if failure.kind is ErrorKind.ANSWER_TOO_LARGE:
        _report_outcome(context, answers.make_too_large_outcome(failure))
    if failure.kind is ErrorKind.NOT_RUN:
        return Err(_close_key(context, failure))
    return Err(failure)


def _close_key(context: RequestContext, failure: Failure) -> Failure:
    """Close the key as not run; return NOT_RUN only if this was stored."""
    message = ReportOutcome(_make_record(context, None))
    timeout_s = context.admitted.claim_timeout_s
    reported = context.kernel.call(SERVICE_CLAIMS, message, timeout_s)
    if reported.is_ok() and reported.ok_value.stored:
        return Failure(ErrorKind.NOT_RUN, failure.detail)
    detail = f'{failure.detail}; closing the key as not run was not confirmed'
    return Failure(ErrorKind.CLAIMS_UNAVAILABLE, detail)


def _report_outcome(context: RequestContext, outcome: Outcome) -> None:
    """Send the outcome to the claims service, which records it later."""
    message = ReportOutcome(_make_record(context, outcome))
    for _ in range(REPORT_ATTEMPTS_MAX):
        if context.kernel.send(SERVICE_CLAIMS, message).is_ok():
            return
        gevent.sleep(REPORT_PAUSE_S)
    logger.bind(key=context.caller.key).error('outcome_not_reported')


def _make_record(
    context: RequestContext, outcome: Outcome | None
) -> RecordOutcome:
    caller = context.caller
    return RecordOutcome(
        caller.workspace,
        caller.service_name,
        caller.key,
        not_run=outcome is None,
        outcome=outcome,
    )


def _map_claims_failure(failure: Failure) -> Failure:
    """Keep a failure that concerns the key; map others to unavailable."""
    if failure.kind in refusals.CLAIM_FAILURE_KINDS:
        return failure
    return Failure(ErrorKind.CLAIMS_UNAVAILABLE, repr(failure))
