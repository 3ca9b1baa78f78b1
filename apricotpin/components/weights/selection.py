"""Select the next chunk and source of a fetcher; handle failed fetches."""

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
from apricotpin.messages.transfers import (
    FetchDone,
    FetchOrder,
    Fetcher,
    Source,
)

# Failures of a source that works but cannot send the chunk yet.
_NOT_READY_KINDS: Final = (
    ErrorKind.CHUNK_NOT_YET,
    ErrorKind.PEER_BUSY,
    ErrorKind.VERSION_UNKNOWN,
    ErrorKind.ORIGIN_UNAVAILABLE,
)
# Failures that a source returns at once instead of holding the request, so the
# stripe backs off before its next request.
_IMMEDIATE_KINDS: Final = (ErrorKind.PEER_BUSY, ErrorKind.VERSION_UNKNOWN)
_CORRUPT_KINDS: Final = types.MappingProxyType(
    {True: ErrorKind.MANIFEST_CORRUPT, False: ErrorKind.CHUNK_CORRUPT}
)


class SourceSelection:
    """Hold the state of source selection that outlives a transfer."""

    __slots__ = ('_backoff_s', 'host_id', 'stall_s', 'suspicions', 'topology')

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
        self._backoff_s = jittered_backoff(
            const.RETRY_BACKOFF_FIRST_S,
            const.RETRY_BACKOFF_MAX_S,
            random_unit,
        )

    def start_backoff(self, progress: StripeProgress, now_s: float) -> None:
        """Start a back-off of a stripe; it grows until the next chunk."""
        progress.backoff_count += 1
        progress.backoff_until_s = now_s + self._backoff_s(
            progress.backoff_count
        )


def begin_next_fetch(
    selection: SourceSelection,
    transfer: Transfer,
    fetcher: Fetcher,
    now_s: float,
) -> FetchOrder | None:
    """Begin a fetcher's next fetch and return it, None if it must wait."""
    progress = transfer.stripe_progress[fetcher.stripe]
    index = transfer.next_missing_index(fetcher.stripe)
    if index is None or now_s < progress.backoff_until_s:
        return None
    source = _select_source(selection, progress, fetcher.stripe, now_s)
    if source is None:
        return None
    if source.kind != const.SOURCE_PEER:
        progress.is_blocked = True
    order = FetchOrder(
        transfer.target.name,
        transfer.target.version,
        index,
        source,
        _hold_ms(selection, source),
        _timeout_s(selection, source),
    )
    transfer.begin_fetch(fetcher, order, now_s)
    return order


def record_fetch_outcome(
    selection: SourceSelection,
    transfer: Transfer,
    done: FetchDone,
    now_s: float,
) -> ErrorKind | None:
    """Record a fetch; return why it must be repeated, or None.

    Bytes with a wrong digest exclude the sending host for this version, or
    start a back-off from the origin.
    """
    transfer.end_fetch(done.fetcher)
    if done.outcome.is_err():
        failure = done.outcome.err_value
        _record_failure(selection, transfer, done, failure, now_s)
        return failure.kind
    index = done.order.index
    received = done.outcome.ok_value
    source = done.order.source
    if accept_received(transfer, index, received, now_s):
        _record_delivery(selection, source)
        return None
    if source.kind == const.SOURCE_ORIGIN:
        selection.suspicions.start_origin_backoff(now_s)
    else:
        selection.suspicions.ban(source.host_id)
    return _CORRUPT_KINDS[index == const.MANIFEST_INDEX]


def overdue_fetchers(
    selection: SourceSelection,
    transfer: Transfer,
    now_s: float,
) -> list[tuple[int, int]]:
    """Return the fetchers whose fetch is overdue although it has not failed.

    A source that sends a few bytes from time to time never reaches the read
    timeout. A fetch is overdue when its stripe is stalled and the fetch has
    exceeded its own limit.
    """
    return [
        key
        for key, fetch in transfer.active_fetches.items()
        if fetch.order.source.kind != const.SOURCE_ORIGIN
        and _is_overdue(
            selection,
            transfer.stripe_progress[key[0]],
            fetch.order,
            now_s - fetch.started_s,
            now_s,
        )
    ]


def abandon_fetch(
    selection: SourceSelection,
    transfer: Transfer,
    key: tuple[int, int],
    now_s: float,
) -> None:
    """Drop an overdue fetch and suspect its source."""
    fetch = transfer.active_fetches.pop(key)
    _suspect(
        selection, transfer.stripe_progress[key[0]], fetch.order.source, now_s
    )


def _is_overdue(
    selection: SourceSelection,
    progress: StripeProgress,
    order: FetchOrder,
    elapsed_s: float,
    now_s: float,
) -> bool:
    limit_s = order.timeout_s + selection.stall_s * order.source.depth
    if elapsed_s < limit_s:
        return False
    return is_stalled(progress, order.source, selection.stall_s, now_s)


def _select_source(
    selection: SourceSelection,
    progress: StripeProgress,
    stripe: int,
    now_s: float,
) -> Source | None:
    excluded = selection.suspicions.excluded(now_s)
    topology = selection.topology
    source = topology.source_for(selection.host_id, stripe, excluded)
    if source.kind != const.SOURCE_ORIGIN:
        return source
    if not selection.suspicions.is_origin_in_backoff(now_s):
        return source
    return _next_probe_source(selection, progress, stripe, excluded)


def _next_probe_source(
    selection: SourceSelection,
    progress: StripeProgress,
    stripe: int,
    excluded: frozenset[str],
) -> Source | None:
    """Return the next host to try while the origin cannot send, in turn."""
    candidates = [
        source
        for source in selection.topology.probe_order(selection.host_id, stripe)
        if source.host_id not in excluded
    ]
    if not candidates:
        return None
    progress.probe_count += 1
    return candidates[progress.probe_count % len(candidates)]


def _hold_ms(selection: SourceSelection, source: Source) -> int:
    hold_ms = min(
        const.HOLD_MAX_MS, int(selection.stall_s * const.MS_PER_S / 2)
    )
    return 0 if source.kind == const.SOURCE_PROBE else hold_ms


def _timeout_s(selection: SourceSelection, source: Source) -> float:
    if source.kind == const.SOURCE_ORIGIN:
        return max(const.ORIGIN_SILENCE_TIMEOUT_S, selection.stall_s)
    return selection.stall_s + _hold_ms(selection, source) / const.MS_PER_S


def _record_delivery(selection: SourceSelection, source: Source) -> None:
    if source.kind == const.SOURCE_ORIGIN:
        selection.suspicions.clear_origin_backoff()
    else:
        selection.suspicions.clear_suspicion(source.host_id)


def _record_failure(
    selection: SourceSelection,
    transfer: Transfer,
    done: FetchDone,
    failure: Failure,
    now_s: float,
) -> None:
    source = done.order.source
    progress = transfer.stripe_progress[done.fetcher.stripe]
    if source.kind == const.SOURCE_ORIGIN:
        selection.suspicions.start_origin_backoff(now_s)
        return
    if failure.kind not in _NOT_READY_KINDS:
        _suspect(selection, progress, source, now_s)
        return
    if source.kind == const.SOURCE_PEER:
        progress.is_blocked = failure.kind is ErrorKind.ORIGIN_UNAVAILABLE
    if source.kind == const.SOURCE_PROBE or failure.kind in _IMMEDIATE_KINDS:
        selection.start_backoff(progress, now_s)
    if source.kind == const.SOURCE_PROBE:
        return
    if is_stalled(progress, source, selection.stall_s, now_s):
        _suspect(selection, progress, source, now_s)


def _suspect(
    selection: SourceSelection,
    progress: StripeProgress,
    source: Source,
    now_s: float,
) -> None:
    """Exclude a source for a time and restart the stall limit for the next."""
    selection.suspicions.suspect(source.host_id, now_s)
    progress.last_progress_s = now_s
    progress.backoff_until_s = now_s
    progress.backoff_count = 0
