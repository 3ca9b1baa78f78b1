"""Decide what follows an attempt and what a caller is told."""

import enum
from http import HTTPStatus

from apricotpin.components.gateway import const
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.exchange import Verdict
from apricotpin.messages.desired import Route, RouteKind
from apricotpin.messages.requests import ResponseHead

_NOT_SENT = Verdict.CONNECT_FAILED
_NOT_RUN = frozenset((Verdict.BUSY, Verdict.MISDIRECTED))
_FULL = frozenset((ErrorKind.OVERLOADED, ErrorKind.MAILBOX_FULL))
_COMES_BACK = frozenset(
    (
        ErrorKind.NO_UPSTREAM,
        ErrorKind.NOT_READY,
        ErrorKind.NOT_RUN,
        ErrorKind.RETRY_BUDGET_EMPTY,
        ErrorKind.STOPPING,
    )
)


class Action(enum.Enum):
    """Say what follows an attempt."""

    ANSWER = 'answer'
    RETRY = 'retry'
    FAIL = 'fail'


class Progress:
    """Hold what has happened to a request so far.

    sent counts the workers that it was sent to and unsent the attempts that
    reached none; may_have_run holds once a worker that did not deny it may
    have begun. Times are of the monotonic clock.
    """

    __slots__ = (
        'deadline_s',
        'last_event_id',
        'may_have_run',
        'retry_reason',
        'route',
        'sent',
        'started_s',
        'tried',
        'unsent',
    )

    def __init__(
        self,
        route: Route,
        started_s: float,
        deadline_s: float,
        last_event_id: str,
    ) -> None:
        self.route = route
        self.started_s = started_s
        self.deadline_s = deadline_s
        self.last_event_id = last_event_id
        self.sent = 0
        self.unsent = 0
        self.may_have_run = False
        self.retry_reason = ''
        self.tried: tuple[str, ...] = ()


def deadline_of(
    route: Route,
    caller_s: float | None,
    started_s: float,
) -> float:
    """Return when a request must have its answer."""
    allowed_s = route.timeout_s
    if caller_s is not None:
        allowed_s = min(allowed_s, caller_s)
    return started_s + allowed_s


def judge_head(
    head: ResponseHead,
    request_id: str,
    instance_id: str,
) -> Verdict:
    """Say what the head of an answer tells about the attempt.

    A worker also calls a request misdirected while it changes its weights;
    only one that names itself differently has taken over the address.
    """
    if head.is_misdirected:
        replaced = head.responder_id not in {'', instance_id}
        return Verdict.MISDIRECTED if replaced else Verdict.BUSY
    if head.not_run:
        return Verdict.BUSY
    if head.request_id != request_id:
        return Verdict.MISMATCHED
    if not head.has_seal or head.has_encoded_body:
        return Verdict.TRUNCATED
    if head.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return Verdict.UPSTREAM_ERROR
    return Verdict.ANSWERED


def note_attempt(
    progress: Progress,
    instance_id: str,
    verdict: Verdict,
    sent: bool,
) -> None:
    """Remember how an attempt ended."""
    progress.tried = (*progress.tried, instance_id)
    if not sent:
        progress.unsent += 1
        return
    progress.sent += 1
    progress.retry_reason = verdict.value
    if verdict not in _NOT_RUN:
        progress.may_have_run = True


def next_action(progress: Progress, verdict: Verdict, now_s: float) -> Action:
    """Say whether an attempt's outcome is delivered, or what follows."""
    if verdict is Verdict.ANSWERED:
        return Action.ANSWER
    again = may_try_again(progress, now_s)
    if verdict is Verdict.UPSTREAM_ERROR:
        return Action.RETRY if again else Action.ANSWER
    return Action.RETRY if again else Action.FAIL


def may_try_again(progress: Progress, now_s: float) -> bool:
    """Tell whether one more worker may be sent the request."""
    if progress.deadline_s - now_s < const.LEAST_TIME_S:
        return False
    if progress.unsent >= const.UNSENT_ATTEMPTS_MAX:
        return False
    if progress.may_have_run and not progress.route.is_repeatable:
        return False
    return progress.sent < progress.route.max_attempts


def failure_of(
    progress: Progress,
    cause: Failure,
    now_s: float,
) -> Failure:
    """Return what a request ends with; a refusal promises that it never ran."""
    if not progress.may_have_run:
        return cause
    if now_s >= progress.deadline_s - const.LEAST_TIME_S:
        return Failure(ErrorKind.TIMEOUT, cause.detail)
    return Failure(ErrorKind.UPSTREAM_FAILED, cause.detail)


def come_back_s(kind: ErrorKind, left_s: float) -> float | None:
    """Return when a caller may ask again, None if that does not help."""
    longest_s = max(0, left_s) * const.COME_BACK_SHARE
    if kind in _FULL:
        return min(const.COME_BACK_FULL_S, longest_s)
    if kind in _COMES_BACK:
        return min(const.COME_BACK_EMPTY_S, longest_s)
    return None


def hold_s(progress: Progress, now_s: float) -> float:
    """Return how long a request may wait for a worker to come free."""
    share_s = progress.route.latency_goal_s * const.HOLD_SHARE_OF_GOAL
    left_s = progress.deadline_s - now_s - const.LEAST_TIME_S
    if is_resumed(progress):
        return max(0, min(const.RESUME_HOLD_S, left_s))
    return max(0, min(progress.started_s + share_s - now_s, left_s))


def is_resumed(progress: Progress) -> bool:
    """Tell whether another worker broke off what is asked for now."""
    is_stream = progress.route.kind is RouteKind.STREAM
    return is_stream and progress.may_have_run


def silent_s(progress: Progress, now_s: float) -> float:
    """Return how long a worker may stay silent before the first part."""
    left_s = max(const.LEAST_TIME_S, progress.deadline_s - now_s)
    if not may_repeat_later(progress):
        return left_s
    if progress.route.kind is RouteKind.STREAM:
        return min(left_s, const.FIRST_EVENT_SILENT_S)
    return left_s * const.IDEMPOTENT_SILENT_SHARE


def begin_by_s(progress: Progress, within_s: float, now_s: float) -> float:
    """Return until when an attempt waits for a stream's first event.

    The begin of any other answer is not seen, so it may take its whole time.
    """
    if progress.route.kind is not RouteKind.STREAM:
        return progress.deadline_s
    return min(progress.deadline_s, now_s + within_s)


def may_repeat_later(progress: Progress) -> bool:
    """Tell whether a second worker could follow the one being asked."""
    more = progress.sent + 1 < progress.route.max_attempts
    return progress.route.is_repeatable and more
