"""Decide when the configuration is written to the log again; no I/O."""

from typing import Any

from apricotpin.components.configuration import const
from apricotpin.components.configuration.decisions import (
    FoldState,
    state_from_checkpoint,
)
from apricotpin.helpers.log_client import LogPage, LogRecord


class Anchor:
    """Hold the record from which a starting process can fold.

    offset is the first offset that such a process has to read, and
    appended_ms the time of its record.
    """

    __slots__ = ('appended_ms', 'offset')

    def __init__(self, offset: int, appended_ms: int) -> None:
        self.offset = offset
        self.appended_ms = appended_ms


def note_page(anchor: Anchor | None, page: LogPage) -> Anchor | None:
    """Return the newest anchor after a page was read."""
    for record in page.records:
        found = _anchor_at(record)
        if found and (anchor is None or found.offset >= anchor.offset):
            anchor = found
    if anchor is not None and page.earliest_offset > anchor.offset:
        return None
    return anchor


def due_ms(
    anchor: Anchor | None,
    missing_since_ms: int,
    rank: int,
    retention_ms: int,
) -> int:
    """Return the time from which an entry host of a rank writes a checkpoint.

    The host of rank 0 writes after half of the retention, the others later
    in rank order, so that one of them usually does. Without an anchor the
    retention is shorter than the setting says, and it is written at once.
    """
    if anchor is None:
        step_ms = const.REPAIR_FIRST_MS + rank * const.REPAIR_STEP_MS
        return missing_since_ms + step_ms
    share = const.CHECKPOINT_SHARE + rank * const.CHECKPOINT_RANK_SHARE
    share = min(share, const.CHECKPOINT_LAST_SHARE)
    return anchor.appended_ms + int(retention_ms * share)


def checkpoint_fields(state: FoldState) -> dict[str, Any]:
    """Return the value of a checkpoint record."""
    fields = state.bundle.as_fields() if state.bundle else {}
    return {
        'kind': const.KIND_CHECKPOINT,
        'folded': state.folded_offset,
        'accepted': state.accepted_offset,
        'document': fields,
    }


def _anchor_at(record: LogRecord) -> Anchor | None:
    if record.offset == 0:
        return Anchor(0, record.appended_ms)
    if not isinstance(record.value, dict):
        return None
    if record.value.get('kind') != const.KIND_CHECKPOINT:
        return None
    found = state_from_checkpoint(record.value)
    if found.is_err():
        return None
    return Anchor(found.ok_value.folded_offset, record.appended_ms)
