"""Handlers of the claims service."""

import time
from collections.abc import Callable

from loguru import logger

from apricotpin.components.claims.const import SWEEP_RATIO
from apricotpin.components.claims.exchange import Exchange
from apricotpin.components.claims.internal import (
    Answered,
    Drain,
    Forwarded,
    LogReplied,
    ReportFigures,
    Tick,
    TryAgain,
)
from apricotpin.components.claims.keys import parse_key, refusal_by_age
from apricotpin.components.claims.limits import Limits
from apricotpin.components.claims.owner import Owner
from apricotpin.components.claims.ownership import Ownership
from apricotpin.components.claims.requester import Asking, refusal_of
from apricotpin.const import SERVICE_ADMIN, SERVICE_CLAIMS
from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind
from apricotpin.helpers.metrics import count, set_gauge
from apricotpin.messages import verdicts
from apricotpin.messages.admin import GetServiceStatus, Health, ServiceStatus
from apricotpin.messages.claims import (
    Claim,
    LookUpOutcome,
    Recorded,
    RecordOutcome,
    ReportOutcome,
    RequestClaim,
)
from apricotpin.messages.document import ConfigChanged
from apricotpin.messages.hosts import HostsChanged


class ClaimsService:
    """Own the claims of this process."""

    __slots__ = (
        '_draining',
        '_exchange',
        '_kernel',
        '_limits',
        '_new_attempt_id',
        '_owner',
        '_ownership',
        '_swept_s',
    )

    def __init__(
        self,
        kernel: Kernel,
        ownership: Ownership,
        owner: Owner,
        exchange: Exchange,
        new_attempt_id: Callable[[], str],
    ) -> None:
        self._kernel = kernel
        self._ownership = ownership
        self._owner = owner
        self._exchange = exchange
        self._new_attempt_id = new_attempt_id
        # None until a configuration is known; all requests are refused then.
        self._limits: Limits | None = None
        self._swept_s: float = 0
        self._draining: list[Reply] = []

    def request_claim(self, message: RequestClaim, reply: Reply) -> None:
        """Obtain a claim for a new attempt of this process."""
        asked = message.claim
        claim = Claim(
            asked.workspace,
            asked.service_name,
            asked.key.lower(),
            asked.request_digest,
            asked.host_id,
            self._new_attempt_id(),
        )
        self._accept_local(claim, reply)

    def report_outcome(self, message: ReportOutcome, reply: Reply) -> None:
        """Record what became of an attempt that was granted here."""
        report = message.record
        key = parse_key(report.workspace, report.service_name, report.key)
        attempt_id = self._exchange.table.attempt_of(key) if key else ''
        if not attempt_id:
            logger.bind(key=report.key).warning('outcome_without_claim')
            reply.ok(Recorded(stored=False))
            return
        record = RecordOutcome(
            report.workspace,
            report.service_name,
            report.key.lower(),
            report.not_run,
            report.outcome,
            attempt_id,
        )
        self._accept_local(record, reply)

    def look_up_outcome(self, message: LookUpOutcome, reply: Reply) -> None:
        """Find what is known of a key."""
        self._accept_local(message.find, reply)

    def answer_peer(self, message: Asking, reply: Reply) -> None:
        """Answer another entry host, as owner of the partition only."""
        key = parse_key(message.workspace, message.service_name, message.key)
        if key is None:
            reply.ok(refusal_of(message, verdicts.INVALID))
        elif self._limits is None:
            reply.ok(refusal_of(message, verdicts.UNAVAILABLE))
        else:
            self._exchange.accept_from_peer(
                message,
                key,
                reply,
                time.time(),
                self._limits,
            )

    def note_log_reply(self, message: LogReplied, _reply: Reply) -> None:
        """Pass a reply of the log to the partition that waits for it."""
        if self._limits is not None:
            answers = self._owner.note_log_reply(
                message,
                time.time(),
                self._limits.rules,
            )
            self._exchange.note_answers(answers)

    def note_forwarded(self, message: Forwarded, _reply: Reply) -> None:
        """Take the answer of another entry host."""
        self._exchange.note_forwarded(message)

    def note_answered(self, message: Answered, _reply: Reply) -> None:
        """Take a stored outcome that was read from the log."""
        self._exchange.note_answer(message.ask_id, message.answer)

    def try_again(self, message: TryAgain, _reply: Reply) -> None:
        """Send a request again unless it was answered meanwhile."""
        request = self._exchange.table.get(message.ask_id)
        if request is not None and self._limits is not None:
            self._exchange.submit(request, time.time(), self._limits)

    def tick(self, _message: Tick, _reply: Reply) -> None:
        """Check deadlines, drop expired claims and report figures."""
        if self._limits is None:
            return
        now_s = time.time()
        answers = self._owner.tick(now_s, self._limits.rules)
        self._exchange.note_answers(answers)
        self._exchange.expire(now_s, self._limits)
        if not self._exchange.table.draining():
            for drained in self._draining:
                drained.ok()
            self._draining = []
        lifetime_s = self._limits.rules.key_lifetime_s
        if now_s - self._swept_s > lifetime_s * SWEEP_RATIO:
            self._swept_s = now_s
            self._owner.sweep(now_s, lifetime_s)
            self._exchange.table.sweep(now_s - lifetime_s)

    def change_hosts(self, message: HostsChanged, reply: Reply) -> None:
        """Take a new host list and give up partitions of other hosts."""
        if self._ownership.update(message.hosts) and self._limits:
            answers = self._owner.release_others(
                self._ownership.is_owner,
                time.time(),
                self._limits.rules,
            )
            self._exchange.note_answers(answers)
        self._kernel.send(SERVICE_ADMIN, Health(SERVICE_CLAIMS, ready=True))
        reply.ok()

    def change_config(self, message: ConfigChanged, reply: Reply) -> None:
        """Take new limits, except for the number of partitions."""
        in_use = self._limits.partitions if self._limits else None
        wanted = message.document.claims.claim_partitions
        if in_use not in {None, wanted}:
            logger.bind(in_use=in_use, wanted=wanted).error(
                'claim_partitions_change_ignored',
            )
        self._limits = Limits.from_config(message.document, in_use)
        reply.ok()

    def report_figures(self, _message: ReportFigures, _reply: Reply) -> None:
        """Set the gauges."""
        kernel = self._kernel
        unrecorded = len(self._exchange.table.unrecorded())
        set_gauge(kernel, 'claims_unrecorded', unrecorded)
        held = self._owner.status()['claims_in_memory']
        set_gauge(kernel, 'claims_held', held)

    def report_status(self, _message: GetServiceStatus, reply: Reply) -> None:
        """Answer with the figures of owned partitions and kept records."""
        fields = {
            **self._owner.status(),
            'outcomes_unrecorded': len(self._exchange.table.unrecorded()),
        }
        reply.ok(ServiceStatus(SERVICE_CLAIMS, fields))

    def drain(self, _message: Drain, reply: Reply) -> None:
        """Answer once every outcome of this process is recorded."""
        self._draining.append(reply)

    def _accept_local(self, message: Asking, reply: Reply) -> None:
        key = parse_key(message.workspace, message.service_name, message.key)
        if key is None:
            _refuse(self._kernel, reply, verdicts.INVALID)
            return
        if self._limits is None:
            reply.ok(refusal_of(message, verdicts.UNAVAILABLE))
            return
        now_s = time.time()
        horizon_s = now_s - self._limits.rules.key_lifetime_s
        refusal = refusal_by_age(key.created_s, now_s, horizon_s)
        if refusal:
            _refuse(self._kernel, reply, refusal)
            return
        self._exchange.accept_local(message, key, reply, now_s, self._limits)


def _refuse(kernel: Kernel, reply: Reply, verdict: str) -> None:
    count(kernel, 'claims_total', verdict)
    kind = ErrorKind.KEY_INVALID
    if verdict == verdicts.EXPIRED:
        kind = ErrorKind.KEY_EXPIRED
    reply.err(kind, 'a key is a UUID of version 7 created recently')
