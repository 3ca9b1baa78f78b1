"""Handling of open requests, from their arrival until their reply."""

from collections.abc import Callable
from typing import Any

from apricotpin.components.claims import requester, tasks
from apricotpin.components.claims.command_builder import command_of
from apricotpin.components.claims.const import (
    CONCURRENT_FORWARDS_MAX,
    IDLE_CLIENTS_MAX,
)
from apricotpin.components.claims.internal_messages import (
    ForwardDone,
    OwnerReply,
)
from apricotpin.components.claims.keys import Key
from apricotpin.components.claims.limits import ClaimLimits
from apricotpin.components.claims.owned_partitions import (
    OwnedPartitions,
    OwnerReplies,
)
from apricotpin.components.claims.ownership import Ownership
from apricotpin.components.claims.request_table import RequestTable
from apricotpin.core import Kernel, Reply
from apricotpin.helpers.metrics import count, count_retry
from apricotpin.helpers.peer_client import PeerClient
from apricotpin.messages import verdicts
from apricotpin.messages.claims import (
    ClaimAnswer,
    Recorded,
    RecordOutcome,
)


class RequestCoordinator:
    """Send open requests to the owners of their partitions and retry them.

    Owns the table of open requests and the idle clients for peer calls.
    """

    __slots__ = (
        '_backoff_s',
        '_clients',
        '_forward_count',
        '_kernel',
        '_owned_partitions',
        '_ownership',
        '_source_ip',
        'table',
    )

    def __init__(
        self,
        kernel: Kernel,
        ownership: Ownership,
        owned_partitions: OwnedPartitions,
        backoff_s: Callable[[int], float],
        source_ip: str,
    ) -> None:
        self._source_ip = source_ip
        self._kernel = kernel
        self._ownership = ownership
        self._owned_partitions = owned_partitions
        self._backoff_s = backoff_s
        self._clients: list[PeerClient] = []
        self._forward_count = 0
        self.table = RequestTable()

    def accept_local(
        self,
        message: requester.PeerRequest,
        key: Key,
        reply: Reply | None,
        now_s: float,
        limits: ClaimLimits,
    ) -> None:
        """Start a request of this process.

        A request without a reply is retried in the background.
        """
        deadline_s = now_s + limits.requester_deadline_s
        retry_until_s = deadline_s
        if isinstance(message, RecordOutcome):
            retry_until_s = (
                key.created_s + limits.partition_limits.key_lifetime_s
            )
        deadlines = requester.Deadlines(deadline_s, retry_until_s)
        request = self.table.add(message, key, reply, deadlines)
        self._submit_or_refuse(request, message, reply, now_s, limits)

    def accept_from_peer(
        self,
        message: requester.PeerRequest,
        key: Key,
        reply: Reply,
        now_s: float,
        limits: ClaimLimits,
    ) -> None:
        """Start a request of another entry host; it is never forwarded."""
        deadline_s = now_s + limits.owner_deadline_s
        deadlines = requester.Deadlines(deadline_s, deadline_s)
        request = self.table.add(
            message, key, reply, deadlines, is_from_peer=True
        )
        self._submit_or_refuse(request, message, reply, now_s, limits)

    def submit(
        self,
        request: requester.OpenRequest,
        now_s: float,
        limits: ClaimLimits,
    ) -> None:
        """Pass a request to the owner of its partition, local or remote."""
        stream = limits.stream_of(request.key.name)
        if self._ownership.is_owner(stream):
            command_deadline_s = request.deadlines.reply_by_s
            if request.reply is None:
                command_deadline_s = now_s + limits.requester_deadline_s
            command = command_of(request, limits, command_deadline_s)
            owner_replies = self._owned_partitions.handle_command(
                stream, command, now_s, limits.partition_limits
            )
            self.handle_owner_replies(owner_replies)
        elif request.is_from_peer:
            refusal = requester.refusal_for(request.message, verdicts.NOT_OWNER)
            self.handle_owner_reply(request.request_id, refusal)
        else:
            owner = self._ownership.owner_of(stream)
            self._forward(request, self._ownership.address_of(owner), limits)

    def handle_owner_replies(self, owner_replies: OwnerReplies) -> None:
        """Handle replies of partitions that this process owns."""
        for replied in owner_replies:
            self.handle_owner_reply(replied.request_id, replied.owner_reply)

    def handle_forward_done(self, message: ForwardDone) -> None:
        """Handle the reply of another entry host and keep the client."""
        self._forward_count -= 1
        if len(self._clients) < IDLE_CLIENTS_MAX:
            self._clients.append(message.client)
        else:
            message.client.close()
        call_result = message.call_result
        owner_reply = call_result.ok_value if call_result.is_ok() else None
        self.handle_owner_reply(message.request_id, owner_reply)

    def handle_owner_reply(
        self, request_id: int, owner_reply: OwnerReply | None
    ) -> None:
        """Complete the request or schedule a retry.

        None means that the owner did not reply.
        """
        request = self.table.get(request_id)
        if request is None:
            # The request was refused at its deadline. A grant that arrives
            # now is closed by the record that was sent at the deadline.
            return
        if request.is_from_peer or requester.is_final(owner_reply):
            self._complete(request, owner_reply)
            return
        if requester.is_unavailable(owner_reply):
            # The owner has used up most of the time; refuse at the next tick.
            request.deadlines = requester.Deadlines(0, 0)
            return
        request.tries += 1
        if requester.has_no_tries_left(request):
            self._drop_request(request)
            return
        count_retry(self._kernel, requester.retry_reason(owner_reply))
        backoff_s = self._backoff_s(request.tries)
        self._kernel.spawn(
            tasks.retry_later, self._kernel, request_id, backoff_s
        )

    def expire_requests(self, now_s: float, limits: ClaimLimits) -> None:
        """Refuse overdue requests and drop the records over the limit."""
        for request in self.table.overdue(now_s):
            self._expire_request(request, now_s, limits)
        for dropped in self.table.records_over_limit():
            self._drop_request(dropped)

    def _submit_or_refuse(
        self,
        request: requester.OpenRequest | None,
        message: requester.PeerRequest,
        reply: Reply | None,
        now_s: float,
        limits: ClaimLimits,
    ) -> None:
        if request is not None:
            self.submit(request, now_s, limits)
            return
        refusal = requester.refusal_for(
            message,
            verdicts.UNAVAILABLE,
            'too many open requests at the entry host',
        )
        _send_reply(reply, refusal)
        self._count_verdict(refusal)

    def _forward(
        self,
        request: requester.OpenRequest,
        address: str,
        limits: ClaimLimits,
    ) -> None:
        if not address or self._forward_count >= CONCURRENT_FORWARDS_MAX:
            self.handle_owner_reply(request.request_id, None)
            return
        self._forward_count += 1
        self._kernel.spawn(
            tasks.forward_to_owner,
            self._kernel,
            self._clients.pop()
            if self._clients
            else PeerClient(self._source_ip),
            tasks.PeerCall(
                request.request_id,
                address,
                requester.peer_method_of(request.message),
                request.message,
                limits.requester_deadline_s,
            ),
        )

    def _complete(
        self,
        request: requester.OpenRequest,
        owner_reply: OwnerReply | None,
    ) -> None:
        self.table.remove(request)
        if owner_reply is None:
            owner_reply = requester.refusal_for(
                request.message, verdicts.UNAVAILABLE
            )
        if isinstance(owner_reply, Recorded) and not request.is_from_peer:
            self.table.remove_attempt(request.key)
        if (
            requester.is_grant(request.message, owner_reply)
            and not request.is_from_peer
        ):
            self.table.record_grant(request.key, request.message.attempt_id)
        if request.is_from_peer:
            _send_reply(request.reply, owner_reply)
            return
        self._count_verdict(owner_reply)
        _send_local_reply(request.reply, owner_reply)

    def _expire_request(
        self,
        request: requester.OpenRequest,
        now_s: float,
        limits: ClaimLimits,
    ) -> None:
        detail = 'the partition owner or the log did not reply in time'
        refusal = requester.refusal_for(
            request.message, verdicts.UNAVAILABLE, detail
        )
        _send_reply(request.reply, refusal)
        if request.reply is not None and not request.is_from_peer:
            self._count_verdict(refusal)
        request.reply = None
        if request.deadlines.retry_until_s > now_s:
            return
        self._drop_request(request)
        closing = requester.closing_record_of(request.message)
        if closing is not None and not request.is_from_peer:
            self.accept_local(closing, request.key, None, now_s, limits)

    def _drop_request(self, request: requester.OpenRequest) -> None:
        self.table.remove(request)
        message = request.message
        if isinstance(message, RecordOutcome) and not request.is_from_peer:
            self.table.remove_attempt(request.key)
            reason = 'not_run' if message.not_run else 'outcome'
            count(self._kernel, 'claim_records_dropped_total', reason)

    def _count_verdict(self, owner_reply: OwnerReply) -> None:
        if isinstance(owner_reply, ClaimAnswer):
            count(self._kernel, 'claims_total', owner_reply.verdict)


def _send_reply(reply: Any, owner_reply: OwnerReply) -> None:
    if reply is not None:
        reply.ok(owner_reply)


def _send_local_reply(reply: Any, owner_reply: OwnerReply) -> None:
    kind = requester.failure_kind(owner_reply)
    if reply is None:
        return
    if kind is None:
        reply.ok(owner_reply)
    else:
        reply.err(kind, 'the owner refused the key or found no outcome for it')
