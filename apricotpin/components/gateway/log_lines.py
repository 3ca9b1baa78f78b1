"""Log lines about the selection of upstreams and the end of attempts."""

import time
from typing import Final

from loguru import logger

from apricotpin.components.gateway.state import Attempt, Job
from apricotpin.helpers.exchange import Verdict
from apricotpin.messages.upstreams import Picked

# Upper limit of the logged age of a load report; also stands for a load that
# was never reported.
_AGE_SHOWN_S: Final = 99.0


def log_pick(job: Job, picked: Picked, asked_s: float) -> None:
    """Log the selected upstream and the data that the selection used."""
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
        behind_ms=-1 if picked.behind_s is None else _ms(picked.behind_s),
        held_ms=_ms(time.monotonic() - asked_s),
        attempt=job.progress.sent + 1,
        reason=job.progress.retry_reason or 'first',
        left_ms=_left_ms(job),
    ).info('upstream_picked')


def log_failure(job: Job, attempt: Attempt, verdict: Verdict) -> None:
    """Log why an attempt gave no response that can be delivered."""
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
    """Return the time to the first part and the version in the response.

    -1 stands for no first part, version 0 for no response head.
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
