"""Service that holds back requests with parts that crash workers."""

import gevent
from loguru import logger
from result import Err

from apricotpin.components.quarantine import (
    const,
    evidence,
    exchange,
    suspects,
)
from apricotpin.const import SERVICE_DISPATCH, SERVICE_QUARANTINE
from apricotpin.core import Kernel, Reply
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers import clocks
from apricotpin.helpers.hashing import rank_of
from apricotpin.helpers.metrics import count
from apricotpin.messages.prompts import (
    AttemptBroken,
    CheckPrompt,
    CrashEvidenceReceived,
    PromptServed,
)
from apricotpin.messages.upstreams import GetWorkerState, WorkerState


class RefreshEvidence:
    """Ask to drop old evidence and to renew what hellos carry."""

    __slots__ = ()


class ConfirmBreaks:
    """Ask to check whether the workers of broken attempts have crashed."""

    __slots__ = ()


class PossibleCrash:
    """Hold the parts that were unserved on a worker when connections broke."""

    __slots__ = ('broken_s', 'instance_id', 'parts', 'started_ms')

    def __init__(
        self, instance_id: str, started_ms: int, broken_s: float
    ) -> None:
        self.instance_id = instance_id
        self.started_ms = started_ms
        self.broken_s = broken_s
        self.parts: set[str] = set()


class QuarantineService:
    """Hold the evidence on prompt parts and the breaks to be confirmed.

    Times are on the boot-time clock, which counts suspensions.
    """

    __slots__ = (
        '_evidence',
        '_has_told',
        '_is_check_scheduled',
        '_kernel',
        '_possible_crashes',
    )

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._evidence = evidence.Evidence()
        # By the number that identifies the start of the worker.
        self._possible_crashes: dict[int, PossibleCrash] = {}
        self._has_told = False
        self._is_check_scheduled = False

    def check_prompt(self, message: CheckPrompt, reply: Reply) -> None:
        """Reply with a failure if a request must not reach a worker."""
        part = suspects.find_quarantined(self._evidence, message.parts)
        if part:
            ends_s = evidence.quarantine_ends_s(self._evidence, part)
            detail = f'workers crash on part {part} of the prompt'
            left_s = max(0, ends_s - clocks.boot_time_s())
            reply.forward(
                Err(Failure(ErrorKind.PROMPT_QUARANTINED, detail, left_s))
            )
            return
        if message.is_retry:
            part = suspects.find_retry_suspect(
                self._evidence, message.parts, self._pending_by_part()
            )
        if part:
            detail = f'workers may crash on part {part} of the prompt'
            reply.err(ErrorKind.PROMPT_QUARANTINED, detail)
        else:
            reply.ok()

    def record_served(self, message: PromptServed, reply: Reply) -> None:
        """Record that a worker serves a prompt."""
        now_s = clocks.boot_time_s()
        evidence.record_served(
            self._evidence, message.parts, now_s - message.age_s, now_s
        )
        reply.ok()

    def record_broken(self, message: AttemptBroken, reply: Reply) -> None:
        """Record an attempt that broke, and check its worker a little later."""
        worker = _identify(message.instance_id, message.started_ms)
        possible = self._possible_crashes.setdefault(
            worker,
            PossibleCrash(
                message.instance_id,
                message.started_ms,
                clocks.boot_time_s(),
            ),
        )
        possible.parts.update(message.parts)
        self._check_later()
        reply.ok()

    def confirm_breaks(self, _message: ConfirmBreaks, reply: Reply) -> None:
        """Record the crashes among the breaks, and forget the other breaks."""
        self._is_check_scheduled = False
        now_s = clocks.boot_time_s()
        for worker, possible in list(self._possible_crashes.items()):
            age_s = now_s - possible.broken_s
            state = self._worker_state(possible)
            if state is WorkerState.CRASHED:
                self._record_crash(worker, possible)
            elif state is WorkerState.RUNNING or (
                age_s > const.CONFIRM_TIMEOUT_S
            ):
                self._possible_crashes.pop(worker)
        if self._possible_crashes:
            self._check_later()
        reply.ok()

    def receive_evidence(
        self, message: CrashEvidenceReceived, reply: Reply
    ) -> None:
        """Record the evidence of another host."""
        now_s = clocks.boot_time_s()
        adopted = exchange.record_message(
            self._evidence, message.evidence, now_s
        )
        for suspect in message.evidence.crashes:
            self._confirm_crashes(suspect.workers)
        self._log_quarantined(adopted, 'other_host')
        reply.ok()

    def refresh(self, _message: RefreshEvidence, reply: Reply) -> None:
        """Drop old evidence, and renew what is sent to other hosts."""
        now_s = clocks.boot_time_s()
        for part in evidence.expire(self._evidence, now_s):
            logger.bind(part=part).info('prompt_part_released')
        self._quarantine()
        self._tell_others(is_urgent=False)
        reply.ok()

    def _confirm_crashes(self, workers: list[int]) -> None:
        """Record the breaks of workers that another host saw crash."""
        for worker in workers:
            possible = self._possible_crashes.get(worker)
            if possible is not None:
                self._record_crash(worker, possible)

    def _record_crash(self, worker: int, possible: PossibleCrash) -> None:
        self._possible_crashes.pop(worker)
        now_s = clocks.boot_time_s()
        logger.bind(
            instance=possible.instance_id,
            parts=','.join(sorted(possible.parts)),
            age_ms=int((now_s - possible.broken_s) * 1000),
        ).info('worker_crashed')
        for part in possible.parts:
            evidence.record_crash(
                self._evidence, part, worker, possible.broken_s, now_s
            )
        self._quarantine()
        self._tell_others(is_urgent=True)

    def _worker_state(self, possible: PossibleCrash) -> WorkerState:
        message = GetWorkerState(
            possible.instance_id, possible.started_ms, possible.broken_s
        )
        return self._kernel.call(SERVICE_DISPATCH, message).unwrap_or(
            WorkerState.UNKNOWN
        )

    def _quarantine(self) -> None:
        found = suspects.quarantine_suspects(
            self._evidence, clocks.boot_time_s()
        )
        self._log_quarantined(found, 'own_evidence')

    def _log_quarantined(self, parts: list[str], reason: str) -> None:
        for part in parts:
            count(self._kernel, 'prompt_parts_quarantined_total')
            logger.bind(
                part=part,
                reason=reason,
                crashes=evidence.count_crashes(self._evidence, part),
            ).warning('prompt_part_quarantined')

    def _tell_others(self, is_urgent: bool) -> None:
        message = exchange.to_message(
            self._evidence, clocks.boot_time_s(), is_urgent
        )
        if self._has_told or not message.is_empty:
            self._kernel.publish(message)
        self._has_told = not message.is_empty

    def _pending_by_part(self) -> dict[str, list[float]]:
        pending_s: dict[str, list[float]] = {}
        for possible in self._possible_crashes.values():
            for part in possible.parts:
                pending_s.setdefault(part, []).append(possible.broken_s)
        return pending_s

    def _check_later(self) -> None:
        if self._is_check_scheduled:
            return
        self._is_check_scheduled = True
        gevent.spawn_later(
            const.CONFIRM_DELAY_S,
            self._kernel.send,
            SERVICE_QUARANTINE,
            ConfirmBreaks(),
        )


def _identify(instance_id: str, started_ms: int) -> int:
    """Return a number for one start of a worker, the same on all hosts."""
    return rank_of(instance_id, str(started_ms)) >> 1
