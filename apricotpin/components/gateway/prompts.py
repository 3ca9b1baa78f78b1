"""Report whether workers keep running on prompts, and check prompts first."""

import time

from result import Ok, Result

from apricotpin.components.gateway import const
from apricotpin.components.gateway.state import Attempt, RequestContext
from apricotpin.const import SERVICE_QUARANTINE
from apricotpin.errors import Failure
from apricotpin.helpers.exchange import Verdict
from apricotpin.messages.prompts import (
    AttemptBroken,
    CheckPrompt,
    PromptServed,
)

_BREAKS = frozenset((Verdict.RESET, Verdict.TRUNCATED))


def check_prompt(context: RequestContext) -> Result[None, Failure]:
    """Return a failure if the request must not reach a worker."""
    parts = _tracked_parts(context)
    if not parts:
        return Ok(None)
    is_retry = bool(context.progress.retry_reason)
    return context.kernel.call(SERVICE_QUARANTINE, CheckPrompt(parts, is_retry))


def report_served(context: RequestContext, attempt: Attempt) -> None:
    """Report once that the worker has kept running after its first event."""
    if attempt.is_prompt_reported:
        return
    age_s = _served_for_s(attempt)
    if age_s is not None and age_s >= const.PROMPT_SERVED_AFTER_S:
        _send_served(context, attempt, age_s)


def report_end(
    context: RequestContext, attempt: Attempt, verdict: Verdict
) -> None:
    """Report the end of an attempt, if its prompt was not reported before.

    A worker may send an event just before it crashes.
    """
    report_served(context, attempt)
    if attempt.is_prompt_reported:
        return
    age_s = _served_for_s(attempt)
    parts = _tracked_parts(context)
    if verdict is Verdict.ANSWERED and age_s is not None:
        _send_served(context, attempt, age_s)
    elif verdict in _BREAKS and attempt.sent and parts:
        upstream = attempt.upstream
        context.kernel.send(
            SERVICE_QUARANTINE,
            AttemptBroken(parts, upstream.instance_id, upstream.started_ms),
        )


def _send_served(
    context: RequestContext, attempt: Attempt, age_s: float
) -> None:
    attempt.is_prompt_reported = True
    parts = _tracked_parts(context)
    if parts:
        context.kernel.send(SERVICE_QUARANTINE, PromptServed(parts, age_s))


def _served_for_s(attempt: Attempt) -> float | None:
    """Return for how long a stream has been sent, None if it has not begun."""
    if attempt.splitter is None or attempt.time_to_first_part_s is None:
        return None
    begun_s = attempt.sent_s + attempt.time_to_first_part_s
    return time.monotonic() - begun_s


def _tracked_parts(context: RequestContext) -> tuple[str, ...]:
    parts = context.head.shared_parts[: const.TRACKED_PARTS_MAX]
    return tuple(
        part for part in parts if len(part) <= const.TRACKED_PART_MAX_CHARS
    )
