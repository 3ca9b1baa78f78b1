"""Read response bodies within limits of memory and time."""

from loguru import logger
from result import Err, Ok, Result

from apricotpin.components.gateway import const
from apricotpin.components.gateway.service import HoldAnswer
from apricotpin.components.gateway.state import Job
from apricotpin.const import SERVICE_GATEWAY
from apricotpin.helpers.exchange import Exchange, Verdict


def read_answer(job: Job, exchange: Exchange) -> Result[bytes, Verdict]:
    """Return the whole body of a response.

    A body without a stated length may never end, so all of it must arrive
    within one silence limit.
    """
    due_s = None if exchange.parser.has_length else exchange.due_s()
    body = bytearray()
    while True:
        part = exchange.read_part(due_s)
        if part.is_err():
            return part
        if not part.ok_value:
            return Ok(bytes(body))
        body += part.ok_value
        if not _may_hold(job, len(body)):
            return Err(Verdict.TOO_LARGE)


def skip_refusal(exchange: Exchange) -> None:
    """Read and discard the body of a refusal to keep its connection."""
    exchange.set_silence(const.REFUSAL_READ_S)
    exchange.read_all(const.REFUSAL_BODY_MAX_BYTES, exchange.due_s())


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
