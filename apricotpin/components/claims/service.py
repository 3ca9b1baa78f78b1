"""Handlers of the claims service."""

import time
from collections.abc import Callable

from loguru import logger

from apricotpin.components.claims.const import EXPIRY_INTERVAL_RATIO
from apricotpin.components.claims.internal_messages import (
    Drain,
    ForwardDone,
    LogTaskDone,
    OwnerReplied,
    RetryRequest,
    Tick,
    UpdateGauges,
)
from apricotpin.components.claims.keys import parse_key, refusal_by_age
from apricotpin.components.claims.limits import ClaimLimits
from apricotpin.components.claims.owned_partitions import OwnedPartitions
from apricotpin.components.claims.ownership import Ownership
from apricotpin.components.claims.request_coordinator import RequestCoordinator
from apricotpin.components.claims.requester import (
    PeerRequest,
    refusal_for,
)
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
    """Handle the messages to the claims service.

    Owns the state of the service; tasks report to it by messages.
    """

    __slots__ = (
        '_coordinator',
        '_drain_replies',
        '_kernel',
        '_last_expiry_s',
        '_limits',
        '_new_attempt_id',
        '_owned_partitions',
        '_ownership',
    )

    def __init__(
        self,
        kernel: Kernel,
        ownership: Ownership,
        owned_partitions: OwnedPartitions,
        coordinator: RequestCoordinator,
        new_attempt_id: Callable[[], str],
    ) -> None:
        self._kernel = kernel
        self._ownership = ownership
        self._owned_partitions = owned_partitions
        self._coordinator = coordinator
        self._new_attempt_id = new_attempt_id
        # None until the first configuration; requests are refused until then.
        self._limits: ClaimLimits | None = None
        # When expired claims were last removed, in seconds since the epoch.
        self._last_expiry_s: float = 0
        self._drain_replies: list[Reply] = []

    def request_claim(self, message: RequestClaim, reply: Reply) -> None:
        """Claim a key for a new attempt of this process."""
        requested = message.claim
        claim = Claim(
            requested.workspace,
            requested.service_name,
            requested.key.lower(),
            requested.request_digest,
            requested.host_id,
            self._new_attempt_id(),
        )
        self._accept_local(claim, reply)

    def report_outcome(self, message: ReportOutcome, reply: Reply) -> None:
        """Record the outcome of an attempt that was granted to this process."""
        report = message.record
        key = parse_key(report.workspace, report.service_name, report.key)
        attempt_id = self._coordinator.table.attempt_of(key) if key else ''
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
        """Look up the outcome of a key."""
        self._accept_local(message.find, reply)

    def handle_peer_request(self, message: PeerRequest, reply: Reply) -> None:
        """Handle a request of another entry host."""
        key = parse_key(message.workspace, message.service_name, message.key)
        if key is None:
            reply.ok(refusal_for(message, verdicts.INVALID))
        elif self._limits is None:
            reply.ok(refusal_for(message, verdicts.UNAVAILABLE))
        else:
            self._coordinator.accept_from_peer(
                message,
                key,
                reply,
                time.time(),
                self._limits,
            )

    def handle_log_task_done(self, message: LogTaskDone, _reply: Reply) -> None:
        """Pass the result of a log task to its partition."""
        if self._limits is not None:
            owner_replies = self._owned_partitions.handle_log_task_done(
                message,
                time.time(),
                self._limits.partition_limits,
            )
            self._coordinator.handle_owner_replies(owner_replies)

    def handle_forward_done(self, message: ForwardDone, _reply: Reply) -> None:
        """Handle the result of a forwarded request."""
        self._coordinator.handle_forward_done(message)

    def handle_owner_replied(
        self, message: OwnerReplied, _reply: Reply
    ) -> None:
        """Handle a reply that contains an outcome read from the log."""
        self._coordinator.handle_owner_reply(
            message.request_id, message.owner_reply
        )

    def retry_request(self, message: RetryRequest, _reply: Reply) -> None:
        """Submit a request again unless it has its reply by now."""
        request = self._coordinator.table.get(message.request_id)
        if request is not None and self._limits is not None:
            self._coordinator.submit(request, time.time(), self._limits)

    def handle_tick(self, _message: Tick, _reply: Reply) -> None:
        """Check deadlines, reply to Drain, and remove expired claims."""
        if self._limits is None:
            return
        now_s = time.time()
        owner_replies = self._owned_partitions.check_deadlines(
            now_s, self._limits.partition_limits
        )
        self._coordinator.handle_owner_replies(owner_replies)
        self._coordinator.expire_requests(now_s, self._limits)
        if not self._coordinator.table.has_unrecorded_outcome():
            for drain_reply in self._drain_replies:
                drain_reply.ok()
            self._drain_replies = []
        lifetime_s = self._limits.partition_limits.key_lifetime_s
        if now_s - self._last_expiry_s > lifetime_s * EXPIRY_INTERVAL_RATIO:
            self._last_expiry_s = now_s
            self._owned_partitions.drop_expired_claims(now_s, lifetime_s)
            self._coordinator.table.drop_expired_attempts(now_s - lifetime_s)

    def update_hosts(self, message: HostsChanged, reply: Reply) -> None:
        """Apply a host list and release partitions of other hosts."""
        if self._ownership.update_hosts(message.hosts) and self._limits:
            owner_replies = self._owned_partitions.release_unowned(
                self._ownership.is_owner,
                time.time(),
                self._limits.partition_limits,
            )
            self._coordinator.handle_owner_replies(owner_replies)
        self._kernel.send(SERVICE_ADMIN, Health(SERVICE_CLAIMS, ready=True))
        reply.ok()

    def update_config(self, message: ConfigChanged, reply: Reply) -> None:
        """Apply new limits; the number of partitions in use does not change."""
        in_use = self._limits.partition_count if self._limits else None
        configured = message.document.claims.claim_partitions
        if in_use not in {None, configured}:
            logger.bind(in_use=in_use, wanted=configured).error(
                'claim_partitions_change_ignored',
            )
        self._limits = ClaimLimits.from_config(message.document, in_use)
        reply.ok()

    def update_gauges(self, _message: UpdateGauges, _reply: Reply) -> None:
        """Update the gauges."""
        kernel = self._kernel
        unrecorded = len(self._coordinator.table.unrecorded())
        set_gauge(kernel, 'claims_unrecorded', unrecorded)
        held = self._owned_partitions.status()['claims_in_memory']
        set_gauge(kernel, 'claims_held', held)

    def report_status(self, _message: GetServiceStatus, reply: Reply) -> None:
        """Reply with figures of owned partitions and unrecorded outcomes."""
        fields = {
            **self._owned_partitions.status(),
            'outcomes_unrecorded': len(self._coordinator.table.unrecorded()),
        }
        reply.ok(ServiceStatus(SERVICE_CLAIMS, fields))

    def drain(self, _message: Drain, reply: Reply) -> None:
        """Reply once every outcome of this process is recorded."""
        self._drain_replies.append(reply)

    def _accept_local(self, message: PeerRequest, reply: Reply) -> None:
        key = parse_key(message.workspace, message.service_name, message.key)
        if key is None:
            _refuse_key(self._kernel, reply, verdicts.INVALID)
            return
        if self._limits is None:
            reply.ok(refusal_for(message, verdicts.UNAVAILABLE))
            return
        now_s = time.time()
        min_created_s = now_s - self._limits.partition_limits.key_lifetime_s
        refusal_verdict = refusal_by_age(key.created_s, now_s, min_created_s)
        if refusal_verdict:
            _refuse_key(self._kernel, reply, refusal_verdict)
            return
        self._coordinator.accept_local(message, key, reply, now_s, self._limits)


def _refuse_key(kernel: Kernel, reply: Reply, verdict: str) -> None:
    count(kernel, 'claims_total', verdict)
    kind = ErrorKind.KEY_INVALID
    if verdict == verdicts.EXPIRED:
        kind = ErrorKind.KEY_EXPIRED
    reply.err(
        kind, 'an idempotency key must be a recently created UUID of version 7'
    )
