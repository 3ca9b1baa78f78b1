"""Non-idempotent requests, which run at most once under a claimed key."""

import time

import gevent
from loguru import logger
from result import Err, Ok, Result

from apricotpin.components.frontend import answers, decisions, refusals
from apricotpin.components.frontend.attempts import choose, try_upstream
from apricotpin.components.frontend.callers import CallerAnswer, CallerRequest
from apricotpin.components.frontend.const import (
    OUTCOME_LOOKUP_S,
    REPORT_PAUSE_S,
    REPORT_TRIES,
    RUNNING_PAUSE_S,
    RUNNING_WAIT_S,
)
from apricotpin.components.frontend.job import Job
from apricotpin.components.frontend.verdicts import Verdict
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
from apricotpin.messages.routing import Chosen
from apricotpin.messages.verdicts import RUNNING


def run_once(job: Job, host_id: str) -> Result[CallerAnswer, Failure]:
    """Claim the idempotency key and send the request at most once.

    The request uses a new connection, since the failure of an idle one would
    leave open whether the request ran.
    """
    if not job.caller.key:
        detail = (
            f'{job.caller.method} {job.caller.path} is not idempotent and has '
            f'no Idempotency-Key header'
        )
        return Err(Failure(ErrorKind.KEY_REQUIRED, detail))
    # Select first: a key must not be claimed if no upstream is available.
    chosen = choose(job)
    if chosen.is_err():
        return chosen
    claimed = _settled_claim(job, host_id)
    if claimed.is_err():
        return claimed
    stored = answers.stored_answer(claimed.ok_value)
    if stored is not None:
        return Ok(stored)
    kind = refusals.failure_of_claim(claimed.ok_value.verdict)
    if kind is not None:
        return Err(Failure(kind, claimed.ok_value.detail))
    return _send(job, chosen.ok_value)


def look_up(
    kernel: Kernel,
    caller: CallerRequest,
) -> Result[CallerAnswer, Failure]:
    """Return the stored outcome of an idempotency key."""
    key = caller.path.removeprefix('/')
    find = FindOutcome(caller.workspace, caller.service_name, key)
    asked = kernel.call(SERVICE_CLAIMS, LookUpOutcome(find), OUTCOME_LOOKUP_S)
    if asked.is_err():
        return asked.map_err(_claims_failure)
    found: ClaimAnswer = asked.ok_value
    stored = answers.stored_answer(found)
    if stored is not None:
        return Ok(stored)
    kind = refusals.failure_of_claim(found.verdict)
    return Err(Failure(kind or ErrorKind.OUTCOME_UNKNOWN, found.detail))


def _settled_claim(job: Job, host_id: str) -> Result[ClaimAnswer, Failure]:
    """Claim the key; wait for the outcome if a request with it is running.

    Without the wait, a caller that repeats a key at once would receive an
    unknown outcome while the record is on its way to the log.
    """
    ends_s = time.monotonic() + RUNNING_WAIT_S
    while True:
        claimed = _claim(job, host_id)
        if claimed.is_err() or claimed.ok_value.verdict != RUNNING:
            return claimed
        if time.monotonic() + RUNNING_PAUSE_S > ends_s:
            return claimed
        gevent.sleep(RUNNING_PAUSE_S)


def _claim(job: Job, host_id: str) -> Result[ClaimAnswer, Failure]:
    caller = job.caller
    method, target = caller.method.encode(), caller.target().encode()
    claim = Claim(
        caller.workspace,
        caller.service_name,
        caller.key,
        digest_hex(b'\x00'.join([method, target, job.body])),
        host_id,
    )
    timeout_s = job.admitted.claim_timeout_s
    asked = job.kernel.call(SERVICE_CLAIMS, RequestClaim(claim), timeout_s)
    return asked.map_err(_claims_failure)


def _send(job: Job, chosen: Chosen) -> Result[CallerAnswer, Failure]:
    tried = try_upstream(job, chosen, may_reuse=False)
    if tried.is_err():
        return Err(_close(job, tried.err_value))
    trial = tried.ok_value
    if trial.attempt.verdict is Verdict.ANSWERED:
        _report(job, answers.outcome_of(trial))
        return Ok(answers.plain_answer(job, trial))
    failure = decisions.failure_of_single(trial.attempt)
    if failure.kind is ErrorKind.ANSWER_TOO_LARGE:
        _report(job, answers.too_large_outcome(failure))
    if failure.kind is ErrorKind.NOT_RUN:
        return Err(_close(job, failure))
    return Err(failure)


def _close(job: Job, failure: Failure) -> Failure:
    """Close the key as not run; return NOT_RUN only if this was stored."""
    record = ReportOutcome(_record(job, None))
    timeout_s = job.admitted.claim_timeout_s
    reported = job.kernel.call(SERVICE_CLAIMS, record, timeout_s)
    if reported.is_ok() and reported.ok_value.stored:
        return Failure(ErrorKind.NOT_RUN, failure.detail)
    detail = f'{failure.detail}; closing the key as not run was not confirmed'
    return Failure(ErrorKind.CLAIMS_UNAVAILABLE, detail)


def _report(job: Job, outcome: Outcome) -> None:
    """Send the outcome to the claims service, which records it later."""
    record = ReportOutcome(_record(job, outcome))
    for _ in range(REPORT_TRIES):
        if job.kernel.send(SERVICE_CLAIMS, record).is_ok():
            return
        gevent.sleep(REPORT_PAUSE_S)
    logger.bind(key=job.caller.key).error('outcome_not_reported')


def _record(job: Job, outcome: Outcome | None) -> RecordOutcome:
    caller = job.caller
    return RecordOutcome(
        caller.workspace,
        caller.service_name,
        caller.key,
        not_run=outcome is None,
        outcome=outcome,
    )


def _claims_failure(failure: Failure) -> Failure:
    """Keep a failure that concerns the key; map others to unavailable."""
    if failure.kind in refusals.CLAIM_KINDS:
        return failure
    return Failure(ErrorKind.CLAIMS_UNAVAILABLE, repr(failure))
