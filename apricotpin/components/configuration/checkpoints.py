"""Recovery points and due times of checkpoints; no I/O.

The log deletes records after its retention. A checkpoint is a record that
contains the folded state, so that a process can start from it after earlier
records have expired.
"""

from typing import Any

from apricotpin.components.configuration import const
from apricotpin.components.configuration.decisions import (
    FoldState,
    state_from_checkpoint,
)
from apricotpin.helpers.log_client import LogPage, LogRecord


class RecoveryPoint:
    """Describe a record from which a starting process can fold the log.

    This is the first record of the log or a checkpoint. offset is the first
    offset to fold from there. appended_ms is the time at which the record was
    appended, in milliseconds since the epoch.
    """

    __slots__ = ('appended_ms', 'offset')

    def __init__(self, offset: int, appended_ms: int) -> None:
        self.offset = offset
        self.appended_ms = appended_ms


def newest_recovery_point(
    newest: RecoveryPoint | None, page: LogPage
) -> RecoveryPoint | None:
    """Return the newest recovery point after a page was read.

    newest is the one before the page. The result is None if the records that
    it needs have expired.
    """
    for record in page.records:
        found = _recovery_point_at(record)
        if found and (newest is None or found.offset >= newest.offset):
            newest = found
    if newest is not None and page.earliest_offset > newest.offset:
        return None
    return newest


def checkpoint_due_ms(
    recovery_point: RecoveryPoint | None,
    missing_since_ms: int,
    rank: int,
    retention_ms: int,
) -> int:
    """Return when an entry host of a rank writes the next checkpoint.

    The time is in milliseconds since the epoch. The host of rank 0 writes
    after half of the retention, the others later in rank order, so that
    usually only one of them writes. A missing recovery point means that the
    real retention is shorter than the setting; the checkpoint is then due a
    few seconds after missing_since_ms.
    """
    if recovery_point is None:
        delay_ms = (
            const.MISSING_CHECKPOINT_DELAY_MS
            + rank * const.MISSING_CHECKPOINT_RANK_DELAY_MS
        )
        return missing_since_ms + delay_ms
    age_fraction = (
        const.CHECKPOINT_AGE_FRACTION + rank * const.CHECKPOINT_RANK_FRACTION
    )
    age_fraction = min(age_fraction, const.CHECKPOINT_AGE_FRACTION_MAX)
    return recovery_point.appended_ms + int(retention_ms * age_fraction)


def checkpoint_fields(state: FoldState) -> dict[str, Any]:
    """Return the value of a checkpoint record."""
    fields = state.bundle.as_fields() if state.bundle else {}
    return {
        'kind': const.KIND_CHECKPOINT,
        'folded': state.folded_offset,
        'accepted': state.accepted_offset,
        'document': fields,
    }


def _recovery_point_at(record: LogRecord) -> RecoveryPoint | None:
    if record.offset == 0:
        return RecoveryPoint(0, record.appended_ms)
    if not isinstance(record.value, dict):
        return None
    if record.value.get('kind') != const.KIND_CHECKPOINT:
        return None
    found = state_from_checkpoint(record.value)
    if found.is_err():
        return None
    return RecoveryPoint(found.ok_value.folded_offset, record.appended_ms)
