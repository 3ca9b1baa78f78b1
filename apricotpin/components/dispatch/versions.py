"""Which version of its model an upstream holds, and until when it may serve."""

from apricotpin.components.dispatch import const
from apricotpin.components.dispatch.state import DispatchState, Upstream
from apricotpin.messages.desired import Engine


def is_fresh(upstream: Upstream, now_s: float) -> bool:
    """Tell whether an agent reported on an upstream lately."""
    return now_s - upstream.reported_s < const.REPORT_FRESH_S


def version_of(upstream: Upstream, engine: Engine, now_s: float) -> int:
    """Return the version that a worker holds whole, 0 if it holds none."""
    if is_fresh(upstream, now_s):
        report = upstream.report
        whole = report.layers_start == 0 and report.layers_end >= engine.layers
        return report.version if whole else 0
    versions = [
        part.version
        for part in upstream.entry.loaded or ()
        if part.model == engine.model
        and part.start == 0
        and (part.end < 0 or part.end >= engine.layers)
    ]
    return max(versions, default=0)


def is_allowed(
    state: DispatchState,
    model: str,
    version: int,
    now_s: float,
) -> bool:
    """Tell whether a request may begin on a version.

    Versions are counted in ones. A host that started since then may not know
    the one that follows a version, and takes its bound as past.
    """
    known = state.targets.get(model, {})
    if known and version + 1 < min(known):
        return False
    allowed_s = state.limits.version_limit_s - const.VERSION_MARGIN_S
    return all(
        declared <= version or now_s - since_s < allowed_s
        for declared, since_s in known.items()
    )


def is_behind(state: DispatchState, upstream: Upstream, now_s: float) -> bool:
    """Tell whether a worker holds an older version than the newest declared."""
    return behind_s(state, upstream, now_s) is not None


def behind_s(
    state: DispatchState,
    upstream: Upstream,
    now_s: float,
) -> float | None:
    """Return for how long a newer version than a worker's is known."""
    engine = state.engine_of(upstream.entry.service)
    if engine is None:
        return None
    version = version_of(upstream, engine, now_s)
    ages = [
        now_s - since_s
        for declared, since_s in state.targets.get(engine.model, {}).items()
        if declared > version
    ]
    return max(ages, default=None)


def begin_by_s(
    state: DispatchState,
    upstream: Upstream,
    now_s: float,
) -> float | None:
    """Return until when a stream may begin on the version of a worker.

    A request waits at a busy worker for longer than any margin foresees.
    """
    known_for_s = behind_s(state, upstream, now_s)
    if known_for_s is None:
        return None
    longest_s = state.limits.version_limit_s - const.BEGIN_MARGIN_S
    return now_s - known_for_s + longest_s
