"""Carry requests to the owner of their partition until they are answered."""

from collections.abc import Callable
from typing import Any

from apricotpin.components.claims import requester, workers
from apricotpin.components.claims.asking import ask_of
from apricotpin.components.claims.const import FORWARDS_MAX, IDLE_CLIENTS_MAX
from apricotpin.components.claims.internal import Answer, Forwarded
from apricotpin.components.claims.keys import Key
from apricotpin.components.claims.limits import Limits
from apricotpin.components.claims.owner import Answers, Owner
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


class Exchange:
    """Own the open requests and the idle connections to other hosts."""

    __slots__ = (
        '_clients',
        '_forwards',
        '_kernel',
        '_owner',
        '_ownership',
        '_pause_s',
        '_source_ip',
        'table',
    )

    def __init__(
        self,
        kernel: Kernel,
        ownership: Ownership,
        owner: Owner,
        pause_s: Callable[[int], float],
        source_ip: str,
    ) -> None:
        self._source_ip = source_ip
        self._kernel = kernel
        self._ownership = ownership
        self._owner = owner
        self._pause_s = pause_s
        self._clients: list[PeerClient] = []
        self._forwards = 0
        self.table = RequestTable()

    def accept_local(
        self,
        message: requester.Asking,
        key: Key,
        reply: Reply | None,
        now_s: float,
        limits: Limits,
    ) -> None:
        """Take a request of this process; without a reply it only retries."""
        deadline_s = now_s + limits.requester_deadline_s
        give_up_s = deadline_s
        if isinstance(message, RecordOutcome):
            give_up_s = key.created_s + limits.rules.key_lifetime_s
        deadlines = requester.Deadlines(deadline_s, give_up_s)
        request = self.table.add(message, key, reply, deadlines)
        self._start(request, message, reply, now_s, limits)

    def accept_from_peer(
        self,
        message: requester.Asking,
        key: Key,
        reply: Reply,
        now_s: float,
        limits: Limits,
    ) -> None:
        """Answer a request of another entry host, as owner only."""
        deadline_s = now_s + limits.owner_deadline_s
        deadlines = requester.Deadlines(deadline_s, deadline_s)
        request = self.table.add(message, key, reply, deadlines, from_peer=True)
        self._start(request, message, reply, now_s, limits)

    def submit(
        self, request: requester.Request, now_s: float, limits: Limits
    ) -> None:
        """Send a request to the owner of its partition."""
        stream = limits.stream_of(request.key.name)
        if self._ownership.is_owner(stream):
            ask_deadline_s = request.deadlines.answer_s
            if request.reply is None:
                ask_deadline_s = now_s + limits.requester_deadline_s
            ask = ask_of(request, limits, ask_deadline_s)
            answers = self._owner.ask(stream, ask, now_s, limits.rules)
            self.note_answers(answers)
        elif request.from_peer:
            refusal = requester.refusal_of(request.message, verdicts.NOT_OWNER)
            self.note_answer(request.ask_id, refusal)
        else:
            owner = self._ownership.owner_of(stream)
            self._forward(request, self._ownership.address_of(owner), limits)

    def note_answers(self, answers: Answers) -> None:
        """Take answers of owned partitions."""
        for answered in answers:
            self.note_answer(answered.ask_id, answered.answer)

    def note_forwarded(self, message: Forwarded) -> None:
        """Take the answer of another entry host and its connection."""
        self._forwards -= 1
        if len(self._clients) < IDLE_CLIENTS_MAX:
            self._clients.append(message.client)
        else:
            message.client.close()
        answered = message.answered
        answer = answered.ok_value if answered.is_ok() else None
        self.note_answer(message.ask_id, answer)

    def note_answer(self, ask_id: int, answer: Answer | None) -> None:
        """Answer the request or try again; None means no answer came."""
        request = self.table.get(ask_id)
        if request is None:
            # It was refused at its deadline, and a grant that comes now is
            # closed by the record sent then.
            return
        if request.from_peer or requester.is_final(answer):
            self._finish(request, answer)
            return
        if requester.refuses(answer):
            # The owner has waited for most of the time there was.
            request.deadlines = requester.Deadlines(0, 0)
            return
        request.tries += 1
        if requester.is_hopeless(request):
            self._drop(request)
            return
        count_retry(self._kernel, requester.retry_reason(answer))
        pause_s = self._pause_s(request.tries)
        self._kernel.spawn(workers.try_later, self._kernel, ask_id, pause_s)

    def expire(self, now_s: float, limits: Limits) -> None:
        """Refuse requests whose deadline passed and bound what is kept."""
        for request in self.table.overdue(now_s):
            self._expire(request, now_s, limits)
        for surplus in self.table.surplus():
            self._drop(surplus)

    def _start(
        self,
        request: requester.Request | None,
        message: requester.Asking,
        reply: Reply | None,
        now_s: float,
        limits: Limits,
    ) -> None:
        if request is not None:
            self.submit(request, now_s, limits)
            return
        refusal = requester.refusal_of(
            message, verdicts.UNAVAILABLE, 'too many requests'
        )
        _send(reply, refusal)
        self._count_answer(refusal)

    def _forward(
        self,
        request: requester.Request,
        address: str,
        limits: Limits,
    ) -> None:
        if not address or self._forwards >= FORWARDS_MAX:
            self.note_answer(request.ask_id, None)
            return
        self._forwards += 1
        self._kernel.spawn(
            workers.forward,
            self._kernel,
            self._clients.pop()
            if self._clients
            else PeerClient(self._source_ip),
            workers.PeerCall(
                request.ask_id,
                address,
                requester.method_of(request.message),
                request.message,
                limits.requester_deadline_s,
            ),
        )

    def _finish(
        self, request: requester.Request, answer: Answer | None
    ) -> None:
        self.table.remove(request)
        if answer is None:
            answer = requester.refusal_of(request.message, verdicts.UNAVAILABLE)
        if isinstance(answer, Recorded) and not request.from_peer:
            self.table.forget_attempt(request.key)
        if requester.grants(request.message, answer) and not request.from_peer:
            self.table.note_granted(request.key, request.message.attempt_id)
        if request.from_peer:
            _send(request.reply, answer)
            return
        self._count_answer(answer)
        _send_local(request.reply, answer)

    def _expire(
        self, request: requester.Request, now_s: float, limits: Limits
    ) -> None:
        detail = 'the owner or the log did not answer in time'
        refusal = requester.refusal_of(
            request.message, verdicts.UNAVAILABLE, detail
        )
        _send(request.reply, refusal)
        if request.reply is not None and not request.from_peer:
            self._count_answer(refusal)
        request.reply = None
        if request.deadlines.give_up_s > now_s:
            return
        self._drop(request)
        closing = requester.closing_of(request.message)
        if closing is not None and not request.from_peer:
            self.accept_local(closing, request.key, None, now_s, limits)

    def _drop(self, request: requester.Request) -> None:
        self.table.remove(request)
        message = request.message
        if isinstance(message, RecordOutcome) and not request.from_peer:
            self.table.forget_attempt(request.key)
            reason = 'not_run' if message.not_run else 'outcome'
            count(self._kernel, 'claim_records_dropped_total', reason)

    def _count_answer(self, answer: Answer) -> None:
        if isinstance(answer, ClaimAnswer):
            count(self._kernel, 'claims_total', answer.verdict)


def _send(reply: Any, answer: Answer) -> None:
    if reply is not None:
        reply.ok(answer)


def _send_local(reply: Any, answer: Answer) -> None:
    kind = requester.failure_kind(answer)
    if reply is None:
        return
    if kind is None:
        reply.ok(answer)
    else:
        reply.err(kind, 'the key is refused or has no outcome')
