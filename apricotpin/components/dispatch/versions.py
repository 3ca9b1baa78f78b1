"""Find the version an upstream has loaded, and its version deadline."""

from apricotpin.components.dispatch import const
from apricotpin.components.dispatch.state import DispatchState
from apricotpin.components.dispatch.upstream import Upstream
from apricotpin.messages.desired import Engine


def has_recent_report(upstream: Upstream, now_s: float) -> bool:
    """Return whether the last load report on an upstream is recent."""
    return now_s - upstream.report_received_s < const.REPORT_AGE_MAX_S


def get_loaded_version(upstream: Upstream, engine: Engine, now_s: float) -> int:
    """Return the version whose layers a worker has all loaded, 0 if none.

    Without a recent load report, the entry in the list of upstreams decides.
    """
    if has_recent_report(upstream, now_s):
        report = upstream.report
        is_complete = (
            report.layers_start == 0 and report.layers_end >= engine.layers
        )
        return report.version if is_complete else 0
    versions = [
        layers.version
        for layers in upstream.entry.loaded or ()
        if layers.model == engine.model
        and layers.start == 0
        and (layers.end < 0 or layers.end >= engine.layers)
    ]
    return max(versions, default=0)


def is_allowed(
    state: DispatchState,
    model: str,
    version: int,
    now_s: float,
) -> bool:
    """Return whether a request may be sent to workers with a version.

    Versions are numbered without gaps. A host that started later may not
    know when the version after this one was declared; it then treats the
    deadline of this version as past.
    """
    declared_versions = state.declared_versions.get(model, {})
    if declared_versions and version + 1 < min(declared_versions):
        return False
    usable_for_s = state.limits.version_limit_s - const.VERSION_MARGIN_S
    return all(
        declared <= version or now_s - declared_s < usable_for_s
        for declared, declared_s in declared_versions.items()
    )


def is_outdated(state: DispatchState, upstream: Upstream, now_s: float) -> bool:
    """Return whether a version newer than the loaded one is declared."""
    return get_outdated_for_s(state, upstream, now_s) is not None


def get_outdated_for_s(
    state: DispatchState,
    upstream: Upstream,
    now_s: float,
) -> float | None:
    """Return for how long a worker's loaded version has been outdated.

    That is the time since the first declaration of a newer version, None if
    none is declared or the service runs no model.
    """
    engine = state.get_engine(upstream.entry.service)
    if engine is None:
        return None
    declared_versions = state.declared_versions.get(engine.model)
    if not declared_versions:
        return None
    version = get_loaded_version(upstream, engine, now_s)
    if version >= max(declared_versions):
        return None
    return max(
        now_s - declared_s
        for declared, declared_s in declared_versions.items()
        if declared > version
    )


def get_start_deadline_s(
    state: DispatchState,
    upstream: Upstream,
    now_s: float,
) -> float | None:
    """Return when streams must have started on a worker's outdated version.

    It is None where the version is not outdated. The margin of the selection
    does not suffice, as a busy worker may keep a request waiting for longer.
    """
    outdated_for_s = get_outdated_for_s(state, upstream, now_s)
    if outdated_for_s is None:
        return None
    start_limit_s = state.limits.version_limit_s - const.START_MARGIN_S
    return now_s - outdated_for_s + start_limit_s
