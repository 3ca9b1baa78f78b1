"""Read the bodies of answers, within the memory and time they may take."""

from loguru import logger
from result import Err, Ok, Result

from apricotpin.components.gateway import const
from apricotpin.components.gateway.service import HoldAnswer
from apricotpin.components.gateway.state import Job
from apricotpin.const import SERVICE_GATEWAY
from apricotpin.helpers.exchange import Exchange, Verdict


def read_answer(job: Job, exchange: Exchange) -> Result[bytes, Verdict]:
    """Return the whole body of an answer for a caller.

    One that does not state its length may never end, so all of it must come
    within one time of silence.
    """
    due_s = (
        None if exchange.parser.has_length else exchange.silence_deadline_s()
    )
    body = bytearray()
    while True:
        part = exchange.read_body_part(due_s)
        if part.is_err():
            return part
        if not part.ok_value:
            return Ok(bytes(body))
        body += part.ok_value
        if not _may_hold(job, len(body)):
            return Err(Verdict.TOO_LARGE)


def skip_refusal(exchange: Exchange) -> None:
    """Read the body of a refusal, so that its connection can be kept."""
    exchange.set_silence_timeout(const.REFUSAL_READ_S)
    exchange.read_all(
        const.REFUSAL_BODY_MAX_BYTES, exchange.silence_deadline_s()
    )


def _may_hold(job: Job, size_bytes: int) -> bool:
    if size_bytes > const.ANSWER_BODY_MAX_BYTES:
        return False
    if size_bytes <= max(const.ANSWER_UNCOUNTED_BYTES, job.held_bytes):
        return True
    steps = -(-size_bytes // const.ANSWERS_STEP_BYTES)
    wanted_bytes = steps * const.ANSWERS_STEP_BYTES
    held = job.kernel.call(
        SERVICE_GATEWAY,
        HoldAnswer(job.ticket, wanted_bytes),
    )
    if held.is_err():
        logger.bind(
            id=job.head.request_id,
            size_bytes=size_bytes,
            cause=held.err_value.kind.value,
        ).warning('answer_not_held')
        return False
    job.held_bytes = wanted_bytes
    return True
