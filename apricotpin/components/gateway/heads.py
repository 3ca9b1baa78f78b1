"""Read the head of a response, and what it says of its worker."""

import time

from apricotpin.components.gateway import const, decisions, responses
from apricotpin.components.gateway.state import Attempt, RequestContext
from apricotpin.const import SERVICE_DISPATCH
from apricotpin.helpers.exchange import Exchange, Verdict
from apricotpin.messages.upstreams import AvailabilityStated


def read_own_head(context: RequestContext, attempt: Attempt) -> Verdict | None:
    """Read the head of the response, and discard responses before it.

    A worker may send the response to an earlier request once more, late.
    """
    exchange = attempt.exchange
    failed = _read_head(context, attempt)
    for _ in range(const.EARLIER_RESPONSES_MAX):
        if failed or not _is_to_earlier(context, attempt):
            break
        _shorten_silence(context, exchange)
        failed = exchange.skip_response(const.EARLIER_RESPONSE_MAX_BYTES)
        failed = failed or _read_head(context, attempt)
        if failed is Verdict.SILENT:
            return Verdict.MISMATCHED
    exchange.accept_response()
    if not context.open_attempts.hedges:
        # Beside hedges the silence goes on until a part can be delivered.
        context.handle_silence(exchange)
    exchange.set_silence_timeout(
        decisions.silence_timeout_s(context.progress, time.monotonic())
    )
    return failed


def _shorten_silence(context: RequestContext, exchange: Exchange) -> None:
    """Limit the wait for the own response after one to an earlier request."""
    has_hedges = bool(context.open_attempts.hedges)
    if not has_hedges and not decisions.may_retry_later(context.progress):
        # No other worker can be asked during a silence.
        exchange.set_silence_handler(None)
    exchange.set_silence_timeout(
        decisions.own_response_wait_s(context.progress, time.monotonic())
    )


def _read_head(context: RequestContext, attempt: Attempt) -> Verdict | None:
    failed = attempt.exchange.read_head()
    if failed:
        return failed
    parser = attempt.exchange.parser
    attempt.head = context.codec.decode_response(
        parser.get_code(),
        list(parser.items()),
    )
    return None


def _is_to_earlier(context: RequestContext, attempt: Attempt) -> bool:
    return responses.is_to_earlier(
        attempt.head, context.head.request_id, attempt.exchange.reused
    )


def report_availability(context: RequestContext, attempt: Attempt) -> None:
    """Tell dispatch at once what a response head states about new requests.

    That concerns the worker and not one request, so it also holds in a
    response that belongs to another request.
    """
    head, upstream = attempt.head, attempt.upstream
    if not head.is_leaving and not head.pause_s:
        return
    if responses.is_from_another_instance(head, upstream.instance_id):
        return
    context.kernel.send(
        SERVICE_DISPATCH,
        AvailabilityStated(upstream.ticket, head.is_leaving, head.pause_s),
    )
