"""Read response bodies within limits of memory and time."""

from loguru import logger
from result import Err, Ok, Result

from apricotpin.components.gateway import const
from apricotpin.components.gateway.service import ReserveResponseMemory
from apricotpin.components.gateway.state import Attempt, RequestContext
from apricotpin.const import SERVICE_GATEWAY
from apricotpin.helpers.exchange import Exchange, Verdict


def read_response_body(
    context: RequestContext, exchange: Exchange
) -> Result[bytes, Verdict]:
    """Return the whole body of a response.

    A body without a stated length may never end, so all of it must arrive
    within one silence limit. It ends with its connection; if that ends before
    any byte of the body, nothing shows that the worker has sent it.
    """
    silence_deadline_s = (
        None if exchange.parser.has_length else exchange.silence_deadline_s()
    )
    body = bytearray()
    while True:
        part = exchange.read_body_part(silence_deadline_s)
        if part.is_err():
            return part
        if not part.ok_value:
            return _check_end(exchange, bytes(body))
        body += part.ok_value
        if not _reserve_memory(context, len(body)):
            return Err(Verdict.TOO_LARGE)


def may_hold_event(context: RequestContext, size_bytes: int) -> bool:
    """Return whether the start of an event may be held until its rest."""
    return size_bytes <= const.EVENT_MAX_BYTES and _reserve_memory(
        context, size_bytes
    )


def check_stream_end(attempt: Attempt) -> Result[bytes, Verdict]:
    """Return empty bytes if a stream that has ended is whole.

    Its framing may not show its end, so one that ends inside an event, or
    without framing before any event, was broken off.
    """
    has_events = attempt.time_to_first_part_s is not None
    is_shown = has_events or attempt.exchange.parser.is_complete
    if attempt.splitter.has_partial_event or not is_shown:
        return Err(Verdict.TRUNCATED)
    return Ok(b'')


def discard_refusal_body(exchange: Exchange) -> None:
    """Read and discard the body of a refusal to keep its connection."""
    exchange.set_silence_handler(None)
    exchange.set_silence_timeout(const.REFUSAL_READ_S)
    exchange.read_all(
        const.REFUSAL_BODY_MAX_BYTES, exchange.silence_deadline_s()
    )


def _check_end(exchange: Exchange, body: bytes) -> Result[bytes, Verdict]:
    if body or exchange.parser.is_complete:
        return Ok(body)
    return Err(Verdict.TRUNCATED)


def _reserve_memory(context: RequestContext, size_bytes: int) -> bool:
    """Return whether a request may hold this many bytes of its response."""
    if size_bytes > const.RESPONSE_BODY_MAX_BYTES:
        return False
    if size_bytes <= max(
        const.RESPONSE_UNRESERVED_MAX_BYTES, context.memory.reserved_bytes
    ):
        return True
    steps = -(-size_bytes // const.RESPONSE_MEMORY_STEP_BYTES)
    total_bytes = steps * const.RESPONSE_MEMORY_STEP_BYTES
    reserved = context.kernel.call(
        SERVICE_GATEWAY,
        ReserveResponseMemory(context.memory.ticket, total_bytes),
    )
    if reserved.is_err():
        logger.bind(
            id=context.head.request_id,
            size_bytes=size_bytes,
            cause=reserved.err_value.kind.value,
        ).warning('response_memory_not_reserved')
        return False
    context.memory.reserved_bytes = total_bytes
    return True
