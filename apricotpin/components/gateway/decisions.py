"""Decide on retries, waiting times and the failure that a caller receives."""

import enum

from apricotpin.components.gateway import const, silences
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.exchange import Verdict
from apricotpin.messages.desired import Route, RouteKind

_NOT_SENT = Verdict.CONNECT_FAILED
_NOT_RUN = frozenset((Verdict.BUSY, Verdict.MISDIRECTED))
_OVERLOAD_KINDS = frozenset((ErrorKind.OVERLOADED, ErrorKind.MAILBOX_FULL))
_UNAVAILABLE_KINDS = frozenset(
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

    DELIVER = 'answer'
    RETRY = 'retry'
    FAIL = 'fail'


class Progress:
    """Track the attempts at a request.

    sent_attempts counts the attempts in which a byte of the request was
    sent, unsent_attempts the others. may_have_run becomes true once the
    request was sent to a worker that did not say that it had not run it.
    has_sent_events is true once the caller has received the head of a stream:
    only the rest of that stream may follow. tried lists the instances of all
    attempts. Times are readings of the monotonic clock in seconds.
    """

    __slots__ = (
        'deadline_s',
        'has_sent_events',
        'last_event_id',
        'may_have_run',
        'retry_reason',
        'route',
        'sent_attempts',
        'started_s',
        'tried',
        'unsent_attempts',
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
        self.sent_attempts = 0
        self.unsent_attempts = 0
        self.may_have_run = False
        self.has_sent_events = False
        self.retry_reason = ''
        self.tried: tuple[str, ...] = ()


def compute_deadline(
    route: Route,
    caller_timeout_s: float | None,
    started_s: float,
) -> float:
    """Return the time by which the response must be complete."""
    timeout_s = route.timeout_s
    if caller_timeout_s is not None:
        timeout_s = min(timeout_s, caller_timeout_s)
    return started_s + timeout_s


def record_attempt(
    progress: Progress,
    instance_id: str,
    verdict: Verdict,
    sent: bool,
) -> None:
    """Record how an attempt ended."""
    progress.tried = (*progress.tried, instance_id)
    if not sent:
        progress.unsent_attempts += 1
        return
    progress.sent_attempts += 1
    progress.retry_reason = verdict.value
    if verdict not in _NOT_RUN:
        progress.may_have_run = True


def next_action(progress: Progress, verdict: Verdict, now_s: float) -> Action:
    """Return whether to deliver the response, retry or fail the request."""
    if verdict is Verdict.ANSWERED:
        return Action.DELIVER
    retry_allowed = may_retry(progress, now_s)
    if verdict is Verdict.UPSTREAM_ERROR:
        return Action.RETRY if retry_allowed else Action.DELIVER
    return Action.RETRY if retry_allowed else Action.FAIL


def may_retry(progress: Progress, now_s: float) -> bool:
    """Return whether another attempt may be made now."""
    if progress.deadline_s - now_s < const.MIN_TIME_LEFT_S:
        return False
    if progress.unsent_attempts >= const.UNSENT_ATTEMPTS_MAX:
        return False
    if progress.may_have_run and not progress.route.is_repeatable:
        return False
    return progress.sent_attempts < progress.route.max_attempts


def classify_failure(
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
    if now_s >= progress.deadline_s - const.MIN_TIME_LEFT_S:
        return Failure(ErrorKind.TIMEOUT, cause.detail)
    return Failure(ErrorKind.UPSTREAM_FAILED, cause.detail)


def retry_after_s(
    failure: Failure, remaining_s: float, random_unit: float
) -> float | None:
    """Return the Retry-After time, None if a retry would not help."""
    if failure.retry_after_s is not None:
        return failure.retry_after_s
    if failure.kind in _OVERLOAD_KINDS:
        first_s = const.RETRY_AFTER_OVERLOADED_FIRST_S
    elif failure.kind in _UNAVAILABLE_KINDS:
        first_s = const.RETRY_AFTER_UNAVAILABLE_FIRST_S
    else:
        return None
    share_s = max(0, remaining_s) * const.RETRY_AFTER_SHARE
    last_s = min(share_s, const.RETRY_AFTER_MAX_S)
    return last_s - random_unit * max(0, last_s - first_s)


def queue_timeout_s(progress: Progress, now_s: float) -> float:
    """Return how long a request may wait for a free worker."""
    wait_limit_s = (
        progress.route.latency_goal_s * const.QUEUE_TIMEOUT_SHARE_OF_GOAL
    )
    remaining_s = progress.deadline_s - now_s - const.MIN_TIME_LEFT_S
    if is_resumed(progress):
        return max(0, min(const.RESUME_QUEUE_TIMEOUT_S, remaining_s))
    return max(0, min(progress.started_s + wait_limit_s - now_s, remaining_s))


def is_resumed(progress: Progress) -> bool:
    """Return whether the next attempt resumes a stream cut at a worker."""
    is_stream = progress.route.kind is RouteKind.STREAM
    return is_stream and progress.may_have_run


def silence_timeout_s(progress: Progress, now_s: float) -> float:
    """Return how long a worker may stay silent before the first part.

    An attempt that no retry may follow gets all of the remaining time.
    """
    remaining_s = max(const.MIN_TIME_LEFT_S, progress.deadline_s - now_s)
    if not may_retry_later(progress):
        return remaining_s
    return silences.before_first_part_s(progress.route, remaining_s)


def own_response_wait_s(progress: Progress, now_s: float) -> float:
    """Return how long to wait for a response after one to another request."""
    goal_s = progress.route.latency_goal_s * const.SILENCE_GOAL_FACTOR
    wait_s = max(const.OWN_RESPONSE_WAIT_MIN_S, goal_s)
    return min(wait_s, silence_timeout_s(progress, now_s))


def event_silence_timeout_s(progress: Progress, now_s: float) -> float:
    """Return how long a worker may stay silent between two events.

    A stream that no other worker may continue is not ended for being slow.
    """
    if not may_retry_later(progress):
        return max(const.MIN_TIME_LEFT_S, progress.deadline_s - now_s)
    return silences.between_events_s(progress.route)


def first_event_deadline_s(
    progress: Progress, start_timeout_s: float, now_s: float
) -> float:
    """Return the deadline of an attempt for a stream's first event.

    The start of any other response can't be observed, so its deadline is that
    of the request.
    """
    if progress.route.kind is not RouteKind.STREAM:
        return progress.deadline_s
    return min(progress.deadline_s, now_s + start_timeout_s)


def may_retry_later(progress: Progress) -> bool:
    """Return whether a retry could follow the attempt in progress."""
    attempts_left = progress.sent_attempts + 1 < progress.route.max_attempts
    return progress.route.is_repeatable and attempts_left
