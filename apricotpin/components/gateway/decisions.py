"""Decide on retries, waiting times and the failure that a caller receives."""

import enum
from http import HTTPStatus

from apricotpin.components.gateway import const
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.exchange import Verdict
from apricotpin.messages.calls import AnswerHead
from apricotpin.messages.desired import Route, RouteKind

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
    """Name what follows an attempt."""

    ANSWER = 'answer'
    RETRY = 'retry'
    FAIL = 'fail'


class Progress:
    """Track the attempts at a request.

    sent counts the attempts in which a byte of the request was sent, unsent
    the others. may_have_run becomes true once a request was sent to a worker
    that did not say that it had not run it. tried lists the instances of all
    attempts. Times are readings of the monotonic clock in seconds.
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
    """Return the time by which the response must be complete."""
    allowed_s = route.timeout_s
    if caller_s is not None:
        allowed_s = min(allowed_s, caller_s)
    return started_s + allowed_s


def judge_head(
    head: AnswerHead,
    request_id: str,
    instance_id: str,
) -> Verdict:
    """Return the verdict that a response head allows.

    A worker also responds "misdirected" while it switches its weights. Only
    if the response names another instance has that instance taken over the
    address.
    """
    if head.misdirected:
        replaced = head.answered_by not in {'', instance_id}
        return Verdict.MISDIRECTED if replaced else Verdict.BUSY
    if head.not_run:
        return Verdict.BUSY
    if head.request_id != request_id:
        return Verdict.CROSSED
    if not head.sealed or head.encoded_body:
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
    """Record how an attempt ended."""
    progress.tried = (*progress.tried, instance_id)
    if not sent:
        progress.unsent += 1
        return
    progress.sent += 1
    progress.retry_reason = verdict.value
    if verdict not in _NOT_RUN:
        progress.may_have_run = True


def next_action(progress: Progress, verdict: Verdict, now_s: float) -> Action:
    """Return whether to deliver the response, retry or fail the request."""
    if verdict is Verdict.ANSWERED:
        return Action.ANSWER
    again = may_try_again(progress, now_s)
    if verdict is Verdict.UPSTREAM_ERROR:
        return Action.RETRY if again else Action.ANSWER
    return Action.RETRY if again else Action.FAIL


def may_try_again(progress: Progress, now_s: float) -> bool:
    """Return whether another attempt may be made now."""
    if progress.deadline_s - now_s < const.LEAST_TIME_S:
        return False
    if progress.unsent >= const.UNSENT_ATTEMPTS_MAX:
        return False
    if progress.may_have_run and not progress.route.repeatable:
        return False
    return progress.sent < progress.route.max_attempts


def failure_of(
    progress: Progress,
    cause: Failure,
    now_s: float,
) -> Failure:
    """Return the failure that the caller receives.

    A refusal promises that the request did not run, so the cause is passed
    on only if no worker may have run it.
    """
    if not progress.may_have_run:
        return cause
    if now_s >= progress.deadline_s - const.LEAST_TIME_S:
        return Failure(ErrorKind.TIMEOUT, cause.detail)
    return Failure(ErrorKind.UPSTREAM_FAILED, cause.detail)


def come_back_s(kind: ErrorKind, left_s: float) -> float | None:
    """Return the Retry-After time, None if a retry would not help."""
    longest_s = max(0, left_s) * const.COME_BACK_SHARE
    if kind in _FULL:
        return min(const.COME_BACK_FULL_S, longest_s)
    if kind in _COMES_BACK:
        return min(const.COME_BACK_EMPTY_S, longest_s)
    return None


def hold_s(progress: Progress, now_s: float) -> float:
    """Return how long a request may wait for a free worker."""
    share_s = progress.route.goal_s * const.HOLD_SHARE_OF_GOAL
    left_s = progress.deadline_s - now_s - const.LEAST_TIME_S
    if is_resumed(progress):
        return max(0, min(const.RESUME_HOLD_S, left_s))
    return max(0, min(progress.started_s + share_s - now_s, left_s))


def is_resumed(progress: Progress) -> bool:
    """Return whether the next attempt resumes a stream cut at a worker."""
    is_stream = progress.route.kind is RouteKind.STREAM
    return is_stream and progress.may_have_run


def silent_s(progress: Progress, now_s: float) -> float:
    """Return how long a worker may stay silent before the first part.

    An attempt that no retry may follow gets all of the remaining time.
    """
    left_s = max(const.LEAST_TIME_S, progress.deadline_s - now_s)
    if not may_repeat_later(progress):
        return left_s
    if progress.route.kind is RouteKind.STREAM:
        return min(left_s, const.FIRST_EVENT_SILENT_S)
    return left_s * const.IDEMPOTENT_SILENT_SHARE


def begin_by_s(progress: Progress, within_s: float, now_s: float) -> float:
    """Return the deadline of an attempt for a stream's first event.

    The start of any other response can't be observed, so its deadline is that
    of the request.
    """
    if progress.route.kind is not RouteKind.STREAM:
        return progress.deadline_s
    return min(progress.deadline_s, now_s + within_s)


def may_repeat_later(progress: Progress) -> bool:
    """Return whether a retry could follow the attempt in progress."""
    more = progress.sent + 1 < progress.route.max_attempts
    return progress.route.repeatable and more
