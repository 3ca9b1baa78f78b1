"""Folding of the configuration stream's records into a state; no I/O."""

from typing import Any

from result import Err, Result

from apricotpin.components.configuration import const
from apricotpin.components.configuration.bundle import (
    Bundle,
    claim_partitions_of,
)
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.log_client import LogPage, LogRecord
from apricotpin.messages.configuration import ConfigState


class FoldState:
    """Hold the result of folding all records before folded_offset.

    folded_offset is the next offset to fold. accepted_offset is the offset
    of the last accepted record, or -1, and bundle its content, or None.
    """

    __slots__ = ('accepted_offset', 'bundle', 'folded_offset')

    def __init__(
        self,
        folded_offset: int = 0,
        accepted_offset: int = const.NO_OFFSET,
        bundle: Bundle | None = None,
    ) -> None:
        self.folded_offset = folded_offset
        self.accepted_offset = accepted_offset
        self.bundle = bundle


class FoldStep:
    """Hold the state after folding a record and the record's verdict."""

    __slots__ = ('state', 'verdict')

    def __init__(self, state: FoldState, verdict: str) -> None:
        self.state = state
        self.verdict = verdict


def fold_record(state: FoldState, record: LogRecord) -> FoldStep:
    """Fold a record into the state.

    Every process folds the same records in the same order. If two publishers
    give the same based_on, all processes therefore accept the earlier record.
    """
    if record.offset < state.folded_offset:
        return FoldStep(state, const.VERDICT_SEEN)
    skipped = FoldState(record.offset + 1, state.accepted_offset, state.bundle)
    kind = _field(record.value, 'kind')
    if kind == const.KIND_CHECKPOINT:
        return FoldStep(skipped, const.VERDICT_CHECKPOINT)
    if kind != const.KIND_PUBLISH:
        return FoldStep(skipped, const.VERDICT_INVALID)
    if _field(record.value, 'based_on') != state.accepted_offset:
        return FoldStep(skipped, const.VERDICT_CONFLICT)
    bundle = Bundle.from_config(record.value)
    if bundle.is_err():
        return FoldStep(skipped, const.VERDICT_INVALID)
    if changes_claim_partitions(state, bundle.ok_value):
        return FoldStep(skipped, const.VERDICT_INVALID)
    accepted = FoldState(record.offset + 1, record.offset, bundle.ok_value)
    return FoldStep(accepted, const.VERDICT_ACCEPTED)


def fold_page(state: FoldState, page: LogPage) -> FoldState:
    """Fold a page; adopt a checkpoint in it if records before it expired."""
    first = page.records[0].offset if page.records else page.earliest_offset
    if max(first, page.earliest_offset) > state.folded_offset:
        return _adopt_checkpoint(state, page)
    for record in page.records:
        state = fold_record(state, record).state
    return state


def next_read_offset(state: FoldState, page: LogPage, position: int) -> int:
    """Return the offset to read from after a page read at a position.

    If records expired before they were folded, all retained records are read
    in search of a checkpoint. Otherwise reading continues at the next offset
    to fold.
    """
    if state.folded_offset >= page.earliest_offset:
        return state.folded_offset
    if page.records:
        return page.records[-1].offset + 1
    return max(position, page.earliest_offset)


def is_newer(state: FoldState, known: FoldState) -> bool:
    """Return whether a state may replace the known one.

    It may not if the accepted configuration would revert to an earlier one.
    """
    return (
        state.folded_offset > known.folded_offset
        and state.accepted_offset >= known.accepted_offset
    )


def changes_claim_partitions(state: FoldState, bundle: Bundle) -> bool:
    """Return whether a bundle changes the claim partitions of a site.

    A host that starts with another number of partitions looks for the claim
    of a key in another stream and could grant the key a second time.
    """
    if state.bundle is None:
        return False
    before = claim_partitions_of(state.bundle)
    after = claim_partitions_of(bundle)
    return any(
        before.get(site, count) != count for site, count in after.items()
    )


def state_from_checkpoint(fields: Any) -> Result[FoldState, Failure]:
    """Build a state from the value of a checkpoint record."""
    folded = _field(fields, 'folded')
    accepted = _field(fields, 'accepted')
    if not _are_valid_offsets(folded, accepted):
        detail = (
            f'path=folded value={folded!r} '
            f'expected="an offset above accepted={accepted!r}"'
        )
        return Err(Failure(ErrorKind.CONFIG_INVALID, detail))
    bundle = Bundle.from_config(_field(fields, 'document'))
    return bundle.map(lambda checked: FoldState(folded, accepted, checked))


def state_from_peer(peer_state: ConfigState) -> Result[FoldState, Failure]:
    """Build a state from the state that a peer returned."""
    bundle = Bundle.from_text(peer_state.document_json)
    return bundle.map(
        lambda checked: FoldState(
            peer_state.folded_offset,
            peer_state.accepted_offset,
            checked,
        ),
    )


def _adopt_checkpoint(state: FoldState, page: LogPage) -> FoldState:
    for record in page.records:
        if _field(record.value, 'kind') != const.KIND_CHECKPOINT:
            continue
        found = state_from_checkpoint(record.value).unwrap_or(state)
        is_usable = found.folded_offset >= page.earliest_offset
        if is_usable and is_newer(found, state):
            return found
    return state


def _are_valid_offsets(folded: Any, accepted: Any) -> bool:
    if not isinstance(folded, int) or not isinstance(accepted, int):
        return False
    return accepted >= 0 and folded > accepted


def _field(fields: Any, name: str) -> Any:
    return fields.get(name) if isinstance(fields, dict) else None
