"""Batches of records for one append."""

from collections.abc import Sequence
from typing import Final

from apricotpin.components.claims import effects, events
from apricotpin.components.claims.const import (
    BATCH_BYTES_MAX,
    BATCH_RECORDS_MAX,
)
from apricotpin.components.claims.records import Claimed, Ended, Open, Record
from apricotpin.components.claims.state import Partition, Rules

_RECORD_OVERHEAD_BYTES: Final = 400


def start_append(
    partition: Partition,
    now_s: float,
    rules: Rules,
) -> effects.Effect:
    """Take waiting asks into the next append."""
    ledger = partition.ledger
    count = _batch_count(partition.waiting)
    partition.batch = partition.waiting[:count]
    partition.waiting = partition.waiting[count:]
    partition.ready_s = now_s + rules.append_spacing_s
    epoch = ledger.epoch
    partition.sent = []
    if ledger.owner != partition.owner:
        # The open record leads the batch: one append takes the partition and
        # makes progress, even if two hosts take it from each other in turn.
        epoch += 1
        partition.sent.append(Open(epoch, partition.owner))
    for ask in partition.batch:
        partition.sent.append(_stamped(ask.record, epoch, partition.owner))
    return effects.AppendBatch(partition.sent)


def _batch_count(waiting: Sequence[events.AskClaim | events.AskFinal]) -> int:
    total_bytes = 0
    for count, ask in enumerate(waiting[:BATCH_RECORDS_MAX]):
        total_bytes += _RECORD_OVERHEAD_BYTES
        if isinstance(ask.record, Ended):
            total_bytes += len(ask.record.outcome.body)
        if count and total_bytes > BATCH_BYTES_MAX:
            return count
    return min(len(waiting), BATCH_RECORDS_MAX)


def _stamped(record: Record, epoch: int, owner: str) -> Record:
    if not isinstance(record, Claimed):
        return record
    return Claimed(
        record.key,
        record.digest,
        record.attempt_id,
        record.host_id,
        epoch,
        owner,
    )
