"""Log lines that tell what a choice rested on and how an attempt went."""

import time
from typing import Final

from loguru import logger

from apricotpin.components.gateway.state import Attempt, Job
from apricotpin.helpers.exchange import Verdict
from apricotpin.messages.upstreams import SelectedUpstream

# A load that was never reported is shown with this age.
_AGE_SHOWN_S: Final = 99.0


def log_pick(job: Job, picked: SelectedUpstream, asked_s: float) -> None:
    """Write which upstream was chosen, and by what."""
    logger.bind(
        id=job.head.request_id,
        route=job.resolved.route.name,
        service=job.resolved.service,
        config=job.resolved.version,
        instance=picked.instance_id,
        data_centre=picked.data_centre,
        load=picked.load,
        load_age_ms=_ms(min(_AGE_SHOWN_S, picked.load_age_s)),
        version=picked.version,
        behind_ms=-1
        if picked.outdated_for_s is None
        else _ms(picked.outdated_for_s),
        held_ms=_ms(time.monotonic() - asked_s),
        attempt=job.progress.sent + 1,
        reason=job.progress.retry_reason or 'first',
        left_ms=_left_ms(job),
    ).info('upstream_picked')


def log_failure(job: Job, attempt: Attempt, verdict: Verdict) -> None:
    """Write why an attempt gave the caller nothing."""
    logger.bind(
        id=job.head.request_id,
        instance=attempt.picked.instance_id,
        verdict=verdict.value,
        sent=attempt.sent,
        open_ms=_ms(time.monotonic() - attempt.sent_s) if attempt.sent else -1,
        status=0 if attempt.head is None else attempt.head.status,
        left_ms=_left_ms(job),
        **attempt_fields(attempt),
    ).info('attempt_failed')


def attempt_fields(attempt: Attempt) -> dict[str, int]:
    """Return how long a worker took to begin, and the version it named.

    -1 stands for a worker that gave nothing.
    """
    waited_s = attempt.waited_s
    return {
        'waited_ms': -1 if waited_s is None else _ms(waited_s),
        'served_version': 0 if attempt.head is None else attempt.head.version,
    }


def _left_ms(job: Job) -> int:
    return _ms(job.progress.deadline_s - time.monotonic())


def _ms(seconds: float) -> int:
    return int(seconds * 1000)
