"""Decide what follows an attempt, independent of HTTP and sockets."""

import types
from collections.abc import Sequence
from typing import Final

from apricotpin.components.frontend.const import (
    ATTEMPTS_MAX,
    SELECTION_MAX_AGE_S,
)
from apricotpin.components.frontend.decision_types import (
    Action,
    AttemptSummary,
    Freshness,
    Progress,
    Step,
    Verdict,
)
from apricotpin.errors import ErrorKind, Executed, Failure, error_response_for
from apricotpin.messages.document import Rule
from apricotpin.messages.routing import (
    HEALTH_FAILED,
    HEALTH_UNKNOWN,
    HEALTH_WORKS,
)

# Safe methods by RFC 9110. Requests with any other method are idempotent only
# if a rule says so.
_SAFE_METHODS: Final = frozenset(('GET', 'HEAD', 'OPTIONS'))

# Verdicts that are no failure of the upstream: a busy upstream works, and
# versions change during every rollout.
_NEUTRAL_VERDICTS: Final = frozenset(
    (Verdict.BUSY, Verdict.WRONG_VERSION, Verdict.TOO_LARGE),
)

_FAILURE_KINDS: Final = types.MappingProxyType(
    {
        Verdict.SILENT: ErrorKind.TIMEOUT,
        Verdict.TOO_LARGE: ErrorKind.ANSWER_TOO_LARGE,
    }
)


def find_rule(rules: Sequence[Rule], method: str, path: str) -> Rule | None:
    """Return the rule with the longest matching prefix, if any.

    Of two rules with the same prefix, the non-idempotent one applies.
    """
    matching = [
        rule
        for rule in rules
        if rule.method == method and path.startswith(rule.path_prefix)
    ]
    return max(
        matching,
        key=lambda rule: (len(rule.path_prefix), not rule.idempotent),
        default=None,
    )


def is_idempotent(rule: Rule | None, method: str) -> bool:
    """Return whether a request may be sent more than once."""
    return rule.idempotent if rule else method in _SAFE_METHODS


def record_attempt(progress: Progress, summary: AttemptSummary) -> None:
    """Record how an attempt ended in the progress of its request."""
    progress.attempt_count += 1
    progress.last_verdict = summary.verdict
    if summary.sent and not summary.refused_as_not_run:
        progress.may_have_run = True


def next_step(
    progress: Progress, summary: AttemptSummary, now_s: float
) -> Step:
    """Decide what follows an attempt that progress already includes."""
    if summary.verdict is Verdict.ANSWERED:
        return Step(Action.DELIVER)
    if not progress.is_idempotent:
        return Step(Action.FAIL, non_idempotent_failure(summary))
    if _may_retry(progress, summary, now_s):
        return Step(Action.RETRY)
    if summary.verdict is Verdict.BUSY and not summary.refused_as_not_run:
        return Step(Action.DELIVER)
    return Step(Action.FAIL, _idempotent_failure(progress, summary, now_s))


def non_idempotent_failure(summary: AttemptSummary) -> Failure:
    """Return the failure of a non-idempotent request."""
    reason = summary.verdict.value
    if summary.verdict is Verdict.TOO_LARGE:
        return Failure(ErrorKind.ANSWER_TOO_LARGE, reason)
    if summary.refused_as_not_run or not summary.sent:
        return Failure(ErrorKind.NOT_RUN, reason)
    return Failure(ErrorKind.OUTCOME_UNKNOWN, reason)


def selection_failure(progress: Progress, refusal: Failure) -> Failure:
    """Return the failure of a request that got no upstream for an attempt.

    A refusal that says "not run" is only passed on if no earlier attempt can
    have run; otherwise the verdict on the latest attempt decides.
    """
    if not progress.may_have_run:
        return refusal
    if error_response_for(refusal.kind).executed is not Executed.NO:
        return refusal
    kind = _FAILURE_KINDS.get(progress.last_verdict, ErrorKind.UPSTREAM_FAILED)
    detail = f'{progress.last_verdict.value}, then {refusal.detail}'
    return Failure(kind, detail)


def check_freshness(
    checked_s: float,
    deadline_s: float,
    now_s: float,
) -> Freshness:
    """Decide whether an upstream selected at checked_s may be used now."""
    if now_s >= deadline_s:
        return Freshness.TOO_LATE
    if now_s - checked_s > SELECTION_MAX_AGE_S:
        return Freshness.SELECT_AGAIN
    return Freshness.SEND


def derive_health(summary: AttemptSummary) -> str:
    """Return the health of an upstream as an attempt shows it."""
    if summary.verdict is Verdict.ANSWERED:
        return HEALTH_WORKS
    if summary.verdict in _NEUTRAL_VERDICTS or summary.reused:
        return HEALTH_UNKNOWN
    return HEALTH_FAILED


def make_attempt_id(request_id: str, ticket: str, number: int) -> str:
    """Return the request id that identifies one attempt to the upstream.

    The ticket distinguishes requests to which callers gave the same id.
    """
    return f'{request_id}-{ticket}-{number}'


def is_own_response(sent_id: str, echoed_id: str, echoes_id: bool) -> bool:
    """Return whether a response belongs to the request that was sent."""
    return not echoes_id or echoed_id == sent_id


def is_required_version(required: str, found: str) -> bool:
    """Return whether a response has the required version, if one is."""
    return not required or found == required


def _may_retry(
    progress: Progress, summary: AttemptSummary, now_s: float
) -> bool:
    if summary.verdict is Verdict.TOO_LARGE:
        return False
    if progress.attempt_count >= ATTEMPTS_MAX or now_s >= progress.deadline_s:
        return False
    return progress.is_resumable or not progress.has_delivered


def _idempotent_failure(
    progress: Progress,
    summary: AttemptSummary,
    now_s: float,
) -> Failure:
    detail = f'{summary.verdict.value} after {progress.attempt_count} attempts'
    if not progress.may_have_run:
        is_refused = summary.refused_as_not_run
        kind = ErrorKind.NOT_RUN if is_refused else ErrorKind.NO_UPSTREAM
        return Failure(kind, detail)
    if now_s >= progress.deadline_s:
        return Failure(ErrorKind.TIMEOUT, detail)
    kind = _FAILURE_KINDS.get(summary.verdict, ErrorKind.UPSTREAM_FAILED)
    return Failure(kind, detail)
