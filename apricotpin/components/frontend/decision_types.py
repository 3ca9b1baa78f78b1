"""Types that the decisions of the frontend take and return."""

import enum

from apricotpin.errors import Failure
from apricotpin.helpers.exchange import Verdict


class Action(enum.Enum):
    """Name what follows an attempt."""

    DELIVER = 'answer'
    RETRY = 'retry'
    FAIL = 'fail'


class Freshness(enum.Enum):
    """Name what follows from the age of a selection before the first byte."""

    SEND = 'send'
    SELECT_AGAIN = 'choose_again'
    TOO_LATE = 'too_late'


class AttemptSummary:
    """Summarize how an attempt ended and whether a byte of it was sent.

    refused_as_not_run is true if the response's status is in the rule's list
    not_run_statuses. A failure on a reused connection says little about the
    upstream, which may only have closed it.
    """

    __slots__ = ('refused_as_not_run', 'reused', 'sent', 'verdict')

    def __init__(
        self,
        verdict: Verdict,
        sent: bool,
        reused: bool = False,
        refused_as_not_run: bool = False,
    ) -> None:
        self.verdict = verdict
        self.sent = sent
        self.reused = reused
        self.refused_as_not_run = refused_as_not_run


class Progress:
    """Track the attempts at a request.

    has_delivered becomes true once part of a stream is passed on to the
    caller; may_have_run becomes true once an attempt was sent and not refused
    as not run; last_verdict is that on the latest attempt; deadline_s is a
    reading of the monotonic clock in seconds.
    """

    __slots__ = (
        'attempt_count',
        'deadline_s',
        'has_delivered',
        'is_idempotent',
        'is_resumable',
        'last_verdict',
        'may_have_run',
    )

    def __init__(
        self,
        is_idempotent: bool,
        is_resumable: bool,
        deadline_s: float,
    ) -> None:
        self.is_idempotent = is_idempotent
        self.is_resumable = is_resumable
        self.deadline_s = deadline_s
        self.attempt_count = 0
        self.may_have_run = False
        self.last_verdict = Verdict.ANSWERED
        self.has_delivered = False


class Step:
    """Describe what to do next, with the failure if the request fails."""

    __slots__ = ('action', 'failure')

    def __init__(self, action: Action, failure: Failure | None = None) -> None:
        self.action = action
        self.failure = failure
