"""Selection of the queued commands that go into one append."""

from collections.abc import Sequence
from typing import Final

from apricotpin.components.claims import effects, events
from apricotpin.components.claims.const import (
    BATCH_BYTES_MAX,
    BATCH_RECORDS_MAX,
)
from apricotpin.components.claims.records import Claimed, Ended, Open, Record
from apricotpin.components.claims.state import Partition, PartitionLimits

# Estimated size of a record without the body of its outcome.
_RECORD_OVERHEAD_BYTES: Final = 400


def start_append(
    partition: Partition,
    now_s: float,
    limits: PartitionLimits,
) -> effects.Effect:
    """Move queued commands into the next append and return its effect."""
    claim_index = partition.claim_index
    count = _batch_record_count(partition.waiting)
    partition.batch = partition.waiting[:count]
    partition.waiting = partition.waiting[count:]
    partition.next_append_s = now_s + limits.append_spacing_s
    epoch = claim_index.epoch
    partition.sent_records = []
    if claim_index.owner != partition.owner_token:
        # The batch starts with the Open record, so that a single append takes
        # the partition over and stores claims. There is progress even if two
        # hosts take the partition over from each other in turn.
        epoch += 1
        partition.sent_records.append(Open(epoch, partition.owner_token))
    for command in partition.batch:
        partition.sent_records.append(
            _with_owner(command.record, epoch, partition.owner_token)
        )
    return effects.AppendBatch(partition.sent_records)


def _batch_record_count(
    waiting: Sequence[events.ClaimCommand | events.RecordCommand],
) -> int:
    total_bytes = 0
    for count, command in enumerate(waiting[:BATCH_RECORDS_MAX]):
        total_bytes += _RECORD_OVERHEAD_BYTES
        if isinstance(command.record, Ended):
            total_bytes += len(command.record.outcome.body)
        if count and total_bytes > BATCH_BYTES_MAX:
            return count
    return min(len(waiting), BATCH_RECORDS_MAX)


def _with_owner(record: Record, epoch: int, owner: str) -> Record:
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
