"""How attempts end, and what has happened to a request so far."""

import enum

from apricotpin.errors import Failure
from apricotpin.helpers.exchange import Verdict


class Action(enum.Enum):
    """Say what follows an attempt."""

    ANSWER = 'answer'
    RETRY = 'retry'
    FAIL = 'fail'


class Freshness(enum.Enum):
    """Say whether the first byte may be sent on an earlier choice."""

    SEND = 'send'
    CHOOSE_AGAIN = 'choose_again'
    TOO_LATE = 'too_late'


class Attempt:
    """Report how an attempt ended and whether a byte of it was sent.

    refused_as_not_run holds when the upstream's status is one that its rule
    lists as not run. A failure on a reused connection says little about the
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
    """Hold what has happened to a request so far.

    delivered holds once the caller has received part of an answer;
    may_have_run holds once an attempt was sent that no upstream refused;
    last is the verdict on the latest attempt;
    deadline_s is a reading of the monotonic clock in seconds.
    """

    __slots__ = (
        'attempts',
        'deadline_s',
        'delivered',
        'idempotent',
        'last',
        'may_have_run',
        'resumable',
    )

    def __init__(
        self,
        idempotent: bool,
        resumable: bool,
        deadline_s: float,
    ) -> None:
        self.idempotent = idempotent
        self.resumable = resumable
        self.deadline_s = deadline_s
        self.attempts = 0
        self.may_have_run = False
        self.last = Verdict.ANSWERED
        self.delivered = False


class Step:
    """Say what to do next, with the failure where the request ends in one."""

    __slots__ = ('action', 'failure')

    def __init__(self, action: Action, failure: Failure | None = None) -> None:
        self.action = action
        self.failure = failure
