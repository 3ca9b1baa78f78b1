"""The partitions that this process owns: runs the effects of decisions."""

from collections.abc import Callable
from typing import Any

from apricotpin.components.claims import effects, events, workers
from apricotpin.components.claims.decisions import step
from apricotpin.components.claims.internal import Answered, LogReplied
from apricotpin.components.claims.ledger import sweep
from apricotpin.components.claims.state import Partition, Rules
from apricotpin.core import Kernel
from apricotpin.helpers.log_client import LogClient
from apricotpin.messages.claims import ClaimAnswer, Recorded

Answers = list[Answered]


class OwnedPartition:
    """Hold a partition and the number that its replies carry.

    Replies to an earlier ownership of the same partition carry another
    number and are dropped.
    """

    __slots__ = ('partition', 'serial')

    def __init__(self, partition: Partition, serial: int) -> None:
        self.partition = partition
        self.serial = serial


class Owner:
    """Own the partitions of this process, within the claims service."""

    __slots__ = (
        '_kernel',
        '_log',
        '_owned',
        '_pause_s',
        '_serial',
        '_token',
    )

    def __init__(
        self,
        kernel: Kernel,
        log: LogClient,
        token: str,
        pause_s: Callable[[int], float],
    ) -> None:
        self._kernel = kernel
        self._log = log
        self._token = token
        self._pause_s = pause_s
        self._owned: dict[str, OwnedPartition] = {}
        self._serial = 0

    def ask(
        self,
        stream: str,
        ask: events.Ask,
        now_s: float,
        rules: Rules,
    ) -> Answers:
        """Pass an ask to a partition, taking the partition if needed."""
        if stream not in self._owned:
            self._serial += 1
            self._owned[stream] = OwnedPartition(
                Partition(self._token),
                self._serial,
            )
        return self._step(stream, ask, now_s, rules)

    def note_log_reply(
        self,
        message: LogReplied,
        now_s: float,
        rules: Rules,
    ) -> Answers:
        """Pass a reply of the log to the partition that waits for it."""
        owned = self._owned.get(message.stream)
        if owned is None or owned.serial != message.serial:
            return []
        return self._step(message.stream, message.event, now_s, rules)

    def tick(self, now_s: float, rules: Rules) -> Answers:
        """Let partitions check their deadlines."""
        answers = []
        for stream in self._owned:
            answers.extend(self._step(stream, events.Ticked(), now_s, rules))
        return answers

    def sweep(self, now_s: float, key_lifetime_s: float) -> None:
        """Drop claims of expired keys from memory."""
        for owned in self._owned.values():
            sweep(owned.partition.ledger, now_s, key_lifetime_s)

    def release_others(
        self,
        is_owner: Callable[[str], bool],
        now_s: float,
        rules: Rules,
    ) -> Answers:
        """Give up partitions that another host is to own."""
        answers = []
        lost = [stream for stream in self._owned if not is_owner(stream)]
        for stream in lost:
            answers.extend(self._step(stream, events.Released(), now_s, rules))
            self._owned.pop(stream)
        return answers

    def status(self) -> dict[str, Any]:
        """Return figures for /status."""
        partitions = [owned.partition for owned in self._owned.values()]
        return {
            'partitions_owned': len(partitions),
            'partitions_failing': sum(
                1 for partition in partitions if partition.failures
            ),
            'claims_in_memory': sum(
                len(partition.ledger.entries) for partition in partitions
            ),
        }

    def _step(
        self,
        stream: str,
        event: events.Event,
        now_s: float,
        rules: Rules,
    ) -> Answers:
        owned = self._owned[stream]
        task = workers.LogTask(self._kernel, self._log, stream, owned.serial)
        answers = []
        for effect in step(owned.partition, event, now_s, rules):
            answer = _answer_of(effect)
            if answer is None:
                self._start(task, effect)
            else:
                answers.append(answer)
        return answers

    def _start(self, task: workers.LogTask, effect: effects.Effect) -> None:
        """Start the worker greenlet that carries out an effect."""
        spawn = self._kernel.spawn
        match effect:
            case effects.AppendBatch(records=records):
                spawn(workers.append_batch, task, records)
            case effects.ReadStream(from_offset=from_offset):
                spawn(workers.read_stream, task, from_offset)
            case effects.Replay(ask_id=ask_id, offset=offset):
                spawn(workers.replay, task, ask_id, offset)
            case effects.Pause(pause_s=pause_s):
                spawn(workers.pause, task, pause_s)
            case effects.BackOff(failures=failures):
                spawn(workers.pause, task, self._pause_s(failures))


def _answer_of(effect: effects.Effect) -> Answered | None:
    if isinstance(effect, effects.Verdict):
        return Answered(effect.ask_id, ClaimAnswer(effect.verdict))
    if isinstance(effect, effects.Stored):
        return Answered(effect.ask_id, Recorded(effect.stored))
    return None
