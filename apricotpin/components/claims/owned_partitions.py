"""Partitions that this process owns, and the execution of their effects."""

from collections.abc import Callable
from typing import Any

from apricotpin.components.claims import (
    effects,
    events,
    tasks,
)
from apricotpin.components.claims.claim_index import drop_expired_claims
from apricotpin.components.claims.decisions import handle_event
from apricotpin.components.claims.internal_messages import (
    LogTaskDone,
    OwnerReplied,
)
from apricotpin.components.claims.state import Partition, PartitionLimits
from apricotpin.core import Kernel
from apricotpin.helpers.log_client import LogClient
from apricotpin.messages.claims import ClaimAnswer, Recorded

OwnerReplies = list[OwnerReplied]


class OwnedPartition:
    """Track a partition during one period of ownership.

    The serial number of the period is in the results of its log tasks; results
    from an earlier period of the same partition are ignored.
    """

    __slots__ = ('partition', 'serial')

    def __init__(self, partition: Partition, serial: int) -> None:
        self.partition = partition
        self.serial = serial


class OwnedPartitions:
    """Track the partitions of this process and run their effects."""

    __slots__ = (
        '_backoff_s',
        '_kernel',
        '_log',
        '_owned',
        '_owner_token',
        '_serial',
    )

    def __init__(
        self,
        kernel: Kernel,
        log: LogClient,
        owner_token: str,
        backoff_s: Callable[[int], float],
    ) -> None:
        self._kernel = kernel
        self._log = log
        self._owner_token = owner_token
        self._backoff_s = backoff_s
        self._owned: dict[str, OwnedPartition] = {}
        self._serial = 0

    def handle_command(
        self,
        stream: str,
        command: events.Command,
        now_s: float,
        limits: PartitionLimits,
    ) -> OwnerReplies:
        """Pass a command to a partition; take the partition if needed."""
        if stream not in self._owned:
            self._serial += 1
            self._owned[stream] = OwnedPartition(
                Partition(self._owner_token),
                self._serial,
            )
        return self._handle_event(stream, command, now_s, limits)

    def handle_log_task_done(
        self,
        message: LogTaskDone,
        now_s: float,
        limits: PartitionLimits,
    ) -> OwnerReplies:
        """Pass the result of a log task to its partition."""
        owned = self._owned.get(message.stream)
        if owned is None or owned.serial != message.serial:
            return []
        return self._handle_event(message.stream, message.event, now_s, limits)

    def check_deadlines(
        self, now_s: float, limits: PartitionLimits
    ) -> OwnerReplies:
        """Return refusals of the commands whose deadline has passed."""
        owner_replies = []
        for stream in self._owned:
            owner_replies.extend(
                self._handle_event(stream, events.Ticked(), now_s, limits)
            )
        return owner_replies

    def drop_expired_claims(self, now_s: float, key_lifetime_s: float) -> None:
        """Remove claims of expired keys from memory."""
        for owned in self._owned.values():
            drop_expired_claims(
                owned.partition.claim_index, now_s, key_lifetime_s
            )

    def release_unowned(
        self,
        is_owner: Callable[[str], bool],
        now_s: float,
        limits: PartitionLimits,
    ) -> OwnerReplies:
        """Release partitions of other hosts; return refusals of commands."""
        owner_replies = []
        released = [stream for stream in self._owned if not is_owner(stream)]
        for stream in released:
            owner_replies.extend(
                self._handle_event(
                    stream, events.OwnershipLost(), now_s, limits
                )
            )
            self._owned.pop(stream)
        return owner_replies

    def status(self) -> dict[str, Any]:
        """Return the figures of owned partitions for /status."""
        partitions = [owned.partition for owned in self._owned.values()]
        return {
            'partitions_owned': len(partitions),
            'partitions_failing': sum(
                1 for partition in partitions if partition.failures
            ),
            'claims_in_memory': sum(
                len(partition.claim_index.entries) for partition in partitions
            ),
        }

    def _handle_event(
        self,
        stream: str,
        event: events.Event,
        now_s: float,
        limits: PartitionLimits,
    ) -> OwnerReplies:
        owned = self._owned[stream]
        task = tasks.LogTask(self._kernel, self._log, stream, owned.serial)
        owner_replies = []
        for effect in handle_event(owned.partition, event, now_s, limits):
            owner_reply = _owner_reply_of(effect)
            if owner_reply is None:
                self._run_effect(task, effect)
            else:
                owner_replies.append(owner_reply)
        return owner_replies

    def _run_effect(self, task: tasks.LogTask, effect: effects.Effect) -> None:
        """Start the task that carries out an effect."""
        spawn = self._kernel.spawn
        match effect:
            case effects.AppendBatch(records=records):
                spawn(tasks.append_batch, task, records)
            case effects.ReadStream(from_offset=from_offset):
                spawn(tasks.read_stream, task, from_offset)
            case effects.ReplyOutcomeAt(request_id=request_id, offset=offset):
                spawn(tasks.read_stored_outcome, task, request_id, offset)
            case effects.Pause(pause_s=pause_s):
                spawn(tasks.pause, task, pause_s)
            case effects.BackOff(failures=failures):
                spawn(tasks.pause, task, self._backoff_s(failures))


def _owner_reply_of(effect: effects.Effect) -> OwnerReplied | None:
    if isinstance(effect, effects.ReplyVerdict):
        return OwnerReplied(effect.request_id, ClaimAnswer(effect.verdict))
    if isinstance(effect, effects.ReplyStored):
        return OwnerReplied(effect.request_id, Recorded(effect.stored))
    return None
