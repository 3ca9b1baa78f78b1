"""Decide what the head of an upstream's response means for its request."""

from http import HTTPStatus
from typing import Final

from apricotpin.helpers.exchange import Verdict
from apricotpin.messages.requests import ResponseHead

_EVENT_STREAM: Final = 'text/event-stream'


def classify_head(
    head: ResponseHead,
    request_id: str,
    instance_id: str,
    is_reused: bool,
) -> Verdict:
    """Return the verdict that a response head allows.

    On a reused connection a worker may send an earlier response again, so
    even a refusal counts only with the id of the request. On a new connection
    no earlier response exists, and a refusal without an id is accepted.

    A worker also responds "misdirected" while it switches its weights. Only
    if the response names another instance has that instance taken over the
    address.
    """
    refuses = head.is_misdirected or head.not_run
    is_unnamed_refusal = refuses and not head.request_id and not is_reused
    if head.request_id != request_id and not is_unnamed_refusal:
        return Verdict.MISMATCHED
    if head.is_misdirected:
        is_another = is_from_another_instance(head, instance_id)
        return Verdict.MISDIRECTED if is_another else Verdict.BUSY
    if head.not_run:
        return Verdict.BUSY
    if not head.has_seal or head.has_encoded_body:
        return Verdict.TRUNCATED
    if head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return Verdict.UPSTREAM_ERROR
    return Verdict.ANSWERED


def is_event_stream(head: ResponseHead) -> bool:
    """Return whether a response is a stream of events, not another document.

    A worker that does not state a type sends events.
    """
    has_events = head.content_type in {'', _EVENT_STREAM}
    return has_events and head.status == HTTPStatus.OK


def is_to_earlier(head: ResponseHead, request_id: str, is_reused: bool) -> bool:
    """Return whether a response is to an earlier request on its connection."""
    return is_reused and head.request_id not in {'', request_id}


def is_from_another_instance(head: ResponseHead, instance_id: str) -> bool:
    """Return whether a response names another instance than the expected."""
    return head.responder_id not in {'', instance_id}
