"""Decide for how long a check of staged pieces permits a load order."""

from apricotpin.components.installer import const
from apricotpin.components.installer.state import (
    Install,
    StagedCheck,
    VersionPieces,
    WorkerState,
)
from apricotpin.messages.pieces import LayerRange


def permits_order(check: StagedCheck, now_s: float) -> bool:
    """Return whether a load order may follow a check now."""
    if check.started_s is None:
        return False
    age_s = now_s - check.started_s
    if age_s <= const.CHECK_AGE_MAX_S:
        return True
    if check.ended_s is None or age_s > const.ORDER_AGE_MAX_S:
        return False
    return now_s - check.ended_s <= const.ORDER_AFTER_CHECK_MAX_S


def order_time_left_s(check: StagedCheck, now_s: float) -> float:
    """Return within which time a load order must be sent to the worker."""
    return check.started_s + const.ORDER_AGE_MAX_S - now_s


def record_check(
    pieces: VersionPieces, part: LayerRange, started_s: float, now_s: float
) -> None:
    """Record a check that found the staged pieces of a part intact.

    If checks keep taking too long, later ones cover fewer layers.
    """
    check = pieces.check
    check.started_s = started_s
    check.ended_s = now_s
    check.end_layer = part.end
    took_s = now_s - started_s
    if took_s <= const.ORDER_AGE_MAX_S:
        check.overlong_count = 0
        return
    check.overlong_count += 1
    if check.overlong_count >= const.OVERLONG_CHECKS_MAX:
        share = const.PART_CHECK_TIME_S / took_s
        check.part_layers = max(1, int((part.end - part.start) * share))
        check.overlong_count = 0
        check.discard()


def next_part(install: Install, worker: WorkerState) -> LayerRange:
    """Return the layers to check and load next."""
    layers = install.pieces.layers
    start = 0
    if worker.version == install.version and worker.layers_start == 0:
        start = min(worker.layers_end, layers)
    part_layers = install.pieces.check.part_layers or layers
    return LayerRange(start, min(start + part_layers, layers))


def piece_indexes(pieces: VersionPieces, part: LayerRange) -> range:
    """Return the indexes of the pieces that layers consist of."""
    count = len(pieces.digests)
    first = part.start * count // pieces.layers
    # Rounded up, since neighbouring layers may share a piece.
    return range(first, -(-part.end * count // pieces.layers))


def finish_loaded_part(install: Install, worker: WorkerState) -> None:
    """Let the next layers follow once those of the last order are loaded."""
    is_loaded = (
        install.load_ordered_s is not None
        and worker.version == install.version
        and worker.layers_start == 0
        and worker.layers_end >= install.pieces.check.end_layer
    )
    if is_loaded:
        install.load_ordered_s = None
        install.pieces.check.discard()
