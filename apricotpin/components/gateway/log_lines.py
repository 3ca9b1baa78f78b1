"""Log lines about the selection of upstreams and the end of attempts."""

import time
from typing import Any, Final

from loguru import logger

from apricotpin.components.gateway.state import Attempt, RequestContext
from apricotpin.helpers.exchange import Verdict
from apricotpin.messages.upstreams import SelectedUpstream

# Upper limit of the logged age of a load report; also stands for a load that
# was never reported.
_LOAD_AGE_MAX_S: Final = 99.0


def log_selection(
    context: RequestContext, upstream: SelectedUpstream, requested_s: float
) -> None:
    """Log the selected upstream and the data that the selection used."""
    logger.bind(
        id=context.head.request_id,
        route=context.resolved.route.name,
        service=context.resolved.service,
        config=context.resolved.version,
        instance=upstream.instance_id,
        data_centre=upstream.data_centre,
        load=upstream.load,
        load_age_ms=_ms(min(_LOAD_AGE_MAX_S, upstream.load_age_s)),
        version=upstream.version,
        behind_ms=-1
        if upstream.outdated_for_s is None
        else _ms(upstream.outdated_for_s),
        held_ms=_ms(time.monotonic() - requested_s),
        attempt=context.progress.sent_attempts + 1,
        reason=context.progress.retry_reason or 'first',
        left_ms=_left_ms(context),
    ).info('upstream_picked')


def log_failed_attempt(
    context: RequestContext, attempt: Attempt, verdict: Verdict
) -> None:
    """Log why an attempt gave no response that can be delivered."""
    is_superseded = verdict is Verdict.SUPERSEDED
    logger.bind(
        id=context.head.request_id,
        instance=attempt.upstream.instance_id,
        verdict=verdict.value,
        sent=attempt.sent,
        open_ms=_ms(time.monotonic() - attempt.sent_s) if attempt.sent else -1,
        status=0 if attempt.head is None else attempt.head.status,
        left_ms=_left_ms(context),
        **attempt_fields(attempt),
    ).info('attempt_superseded' if is_superseded else 'attempt_failed')


def log_silence(context: RequestContext, attempt: Attempt, found: str) -> None:
    """Log a silence, and the other worker or why none was found."""
    logger.bind(
        id=context.head.request_id,
        instance=attempt.upstream.instance_id,
        silent_ms=_ms(time.monotonic() - context.open_attempts.silent_since_s),
        after_event=context.progress.last_event_id,
        left_ms=_left_ms(context),
        found=found,
    ).info('attempt_silent')


def log_resumption(
    context: RequestContext, attempt: Attempt, after_event: str
) -> None:
    """Log that another worker continues a stream after an event."""
    logger.bind(
        id=context.head.request_id,
        instance=attempt.upstream.instance_id,
        after_event=after_event,
        **attempt_fields(attempt),
    ).info('stream_resumed')


def attempt_fields(attempt: Attempt) -> dict[str, int]:
    """Return the time to the first part and the version in the response.

    -1 stands for no first part, version 0 for no response head.
    """
    time_s = attempt.time_to_first_part_s
    return {
        'waited_ms': -1 if time_s is None else _ms(time_s),
        'served_version': 0 if attempt.head is None else attempt.head.version,
    }


def incomplete_fields(context: RequestContext, cause: str) -> dict[str, Any]:
    """Return why and when a response ended before it was complete.

    has_worker: at least one attempt was still in progress.
    """
    return {
        'cause': cause,
        'left_ms': _left_ms(context),
        'after_event': context.progress.last_event_id,
        'has_worker': context.open_attempts.current is not None
        or bool(context.open_attempts.hedges),
    }


def _left_ms(context: RequestContext) -> int:
    return _ms(context.progress.deadline_s - time.monotonic())


def _ms(seconds: float) -> int:
    return int(seconds * 1000)
