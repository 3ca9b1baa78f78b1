"""Which chunk a lane fetches next, from where, and what a failure means."""

import types
from collections.abc import Callable
from typing import Final

from apricotpin.components.weights import const
from apricotpin.components.weights.suspicion import Suspicions
from apricotpin.components.weights.topology import Topology
from apricotpin.components.weights.transfer import (
    StripeProgress,
    Transfer,
    accept_received,
    is_stalled,
)
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.backoff import jittered_backoff
from apricotpin.messages.transfers import FetchDone, FetchOrder, Lane, Source

# Answers of a source that works but cannot deliver now.
_WAITING_KINDS: Final = (
    ErrorKind.CHUNK_NOT_YET,
    ErrorKind.PEER_BUSY,
    ErrorKind.VERSION_UNKNOWN,
    ErrorKind.ORIGIN_UNAVAILABLE,
)
# Answers that come at once, so that the next request needs a pause.
_UNHELD_KINDS: Final = (ErrorKind.PEER_BUSY, ErrorKind.VERSION_UNKNOWN)
_CORRUPT_KINDS: Final = types.MappingProxyType(
    {True: ErrorKind.MANIFEST_CORRUPT, False: ErrorKind.CHUNK_CORRUPT}
)


class Selection:
    """Hold what source selection depends on besides the transfer."""

    __slots__ = ('_pause', 'host_id', 'stall_s', 'suspicions', 'topology')

    def __init__(
        self,
        host_id: str,
        stall_s: float,
        topology: Topology,
        random_unit: Callable[[], float],
    ) -> None:
        self.host_id = host_id
        self.stall_s = stall_s
        self.topology = topology
        self.suspicions = Suspicions(random_unit)
        self._pause = jittered_backoff(
            const.PAUSE_FIRST_S,
            const.PAUSE_LONGEST_S,
            random_unit,
        )

    def pause(self, progress: StripeProgress, now_s: float) -> None:
        """Let a stripe rest for a time that grows until its next chunk."""
        progress.pauses += 1
        progress.resume_s = now_s + self._pause(progress.pauses)


def next_fetch(
    selection: Selection,
    transfer: Transfer,
    lane: Lane,
    now_s: float,
) -> FetchOrder | None:
    """Return the next fetch of a lane, or None if it has to wait."""
    progress = transfer.stripes[lane.stripe]
    index = transfer.next_index(lane.stripe)
    if index is None or now_s < progress.resume_s:
        return None
    source = _choose_source(selection, progress, lane.stripe, now_s)
    if source is None:
        return None
    if source.kind != const.SOURCE_PEER:
        progress.blocked = True
    order = FetchOrder(
        transfer.target.name,
        transfer.target.version,
        index,
        source,
        _hold_ms(selection, source),
        _timeout_s(selection, source),
    )
    transfer.open(lane, order, now_s)
    return order


def settle_fetch(
    selection: Selection,
    transfer: Transfer,
    done: FetchDone,
    now_s: float,
) -> ErrorKind | None:
    """Keep what arrived or act on the failure; return why it is retried."""
    transfer.close(done.lane)
    if done.outcome.is_err():
        failure = done.outcome.err_value
        _note_failure(selection, transfer, done, failure, now_s)
        return failure.kind
    index = done.order.index
    received = done.outcome.ok_value
    source = done.order.source
    if accept_received(transfer, index, received, now_s):
        _note_delivery(selection, source)
        return None
    if source.kind == const.SOURCE_ORIGIN:
        selection.suspicions.pause_origin(now_s)
    else:
        selection.suspicions.ban(source.host_id)
    return _CORRUPT_KINDS[index == const.MANIFEST_INDEX]


def overdue_lanes(
    selection: Selection,
    transfer: Transfer,
    now_s: float,
) -> list[tuple[int, int]]:
    """Return lanes whose source sends too slowly to be a failed read.

    The stripe has stalled, and the fetch itself has lasted as long.
    """
    return [
        key
        for key, fetch in transfer.open_fetches.items()
        if fetch.order.source.kind != const.SOURCE_ORIGIN
        and _is_overdue(
            selection,
            transfer.stripes[key[0]],
            fetch.order,
            now_s - fetch.started_s,
            now_s,
        )
    ]


def abandon_lane(
    selection: Selection,
    transfer: Transfer,
    key: tuple[int, int],
    now_s: float,
) -> None:
    """Give up a fetch and suspect its source."""
    fetch = transfer.open_fetches.pop(key)
    _suspect(selection, transfer.stripes[key[0]], fetch.order.source, now_s)


def _is_overdue(
    selection: Selection,
    progress: StripeProgress,
    order: FetchOrder,
    lasted_s: float,
    now_s: float,
) -> bool:
    allowed_s = order.timeout_s + selection.stall_s * order.source.depth
    if lasted_s < allowed_s:
        return False
    return is_stalled(progress, order.source, selection.stall_s, now_s)


def _choose_source(
    selection: Selection,
    progress: StripeProgress,
    stripe: int,
    now_s: float,
) -> Source | None:
    excluded = selection.suspicions.excluded(now_s)
    topology = selection.topology
    source = topology.source_for(selection.host_id, stripe, excluded)
    if source.kind != const.SOURCE_ORIGIN:
        return source
    if not selection.suspicions.origin_paused(now_s):
        return source
    return _probe_source(selection, progress, stripe, excluded)


def _probe_source(
    selection: Selection,
    progress: StripeProgress,
    stripe: int,
    excluded: frozenset[str],
) -> Source | None:
    """Return the next host that may hold what the origin cannot send."""
    candidates = [
        source
        for source in selection.topology.probe_order(selection.host_id, stripe)
        if source.host_id not in excluded
    ]
    if not candidates:
        return None
    progress.probes += 1
    return candidates[progress.probes % len(candidates)]


def _hold_ms(selection: Selection, source: Source) -> int:
    hold_ms = min(const.HOLD_MS, int(selection.stall_s * const.MS_PER_S / 2))
    return 0 if source.kind == const.SOURCE_PROBE else hold_ms


def _timeout_s(selection: Selection, source: Source) -> float:
    if source.kind == const.SOURCE_ORIGIN:
        return max(const.ORIGIN_SILENT_S, selection.stall_s)
    return selection.stall_s + _hold_ms(selection, source) / const.MS_PER_S


def _note_delivery(selection: Selection, source: Source) -> None:
    if source.kind == const.SOURCE_ORIGIN:
        selection.suspicions.trust_origin()
    else:
        selection.suspicions.trust(source.host_id)


def _note_failure(
    selection: Selection,
    transfer: Transfer,
    done: FetchDone,
    failure: Failure,
    now_s: float,
) -> None:
    source = done.order.source
    progress = transfer.stripes[done.lane.stripe]
    if source.kind == const.SOURCE_ORIGIN:
        selection.suspicions.pause_origin(now_s)
        return
    if failure.kind not in _WAITING_KINDS:
        _suspect(selection, progress, source, now_s)
        return
    if source.kind == const.SOURCE_PEER:
        progress.blocked = failure.kind is ErrorKind.ORIGIN_UNAVAILABLE
    if source.kind == const.SOURCE_PROBE or failure.kind in _UNHELD_KINDS:
        selection.pause(progress, now_s)
    if source.kind == const.SOURCE_PROBE:
        return
    if is_stalled(progress, source, selection.stall_s, now_s):
        _suspect(selection, progress, source, now_s)


def _suspect(
    selection: Selection,
    progress: StripeProgress,
    source: Source,
    now_s: float,
) -> None:
    """Exclude a source; the next one gets the full time of its depth."""
    selection.suspicions.suspect(source.host_id, now_s)
    progress.progressed_s = now_s
    progress.resume_s = now_s
    progress.pauses = 0
