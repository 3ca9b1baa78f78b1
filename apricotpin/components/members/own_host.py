"""Host record that a process publishes about itself; no I/O."""

from apricotpin import const as names
from apricotpin.components.members.table import copy_host
from apricotpin.messages.hosts import Host
from apricotpin.messages.weights import EngineState
from apricotpin.settings import Settings


def initial_record(settings: Settings, incarnation: int) -> Host:
    """Return the record of a process that has just started.

    incarnation is the start time in milliseconds since the epoch, so that
    records of a restarted process replace those of the process before it.
    """
    return Host(
        settings.host_id,
        role=settings.role,
        region=settings.region,
        data_centre=settings.data_centre,
        peer_address=settings.advertise,
        upstream_address=settings.upstream_address,
        service_name=settings.service,
        state=names.HOST_LIVE,
        incarnation=incarnation,
    )


def with_engine_state(own: Host, engine: EngineState) -> Host:
    """Return the record updated with the state of the engine."""
    state = own.state
    if state != names.HOST_LEAVING:
        state = names.HOST_SWITCHING if engine.switching else names.HOST_LIVE
    return copy_host(
        own,
        state=state,
        model=engine.model,
        version=engine.version,
        in_flight=engine.in_flight,
    )


def needs_immediate_heartbeat(before: Host, after: Host) -> bool:
    """Return whether a change has to be sent before the next round."""
    return (before.state, before.version) != (after.state, after.version)


def with_peer_report(own: Host, reported: Host) -> Host:
    """Return the record updated with a peer's record of this process.

    The state `leaving` of the same incarnation is adopted. A newer
    incarnation means that the clock was set back across a restart; this
    process then takes the next higher one, since peers ignore older
    incarnations.
    """
    if reported.incarnation > own.incarnation:
        return copy_host(own, incarnation=reported.incarnation + 1)
    is_same_incarnation = reported.incarnation == own.incarnation
    if is_same_incarnation and reported.state == names.HOST_LEAVING:
        return copy_host(own, state=names.HOST_LEAVING)
    return own
