"""Progress of a rollout by data centre; no I/O."""

from collections.abc import Iterable
from typing import Any

from apricotpin.commands.host_calls import HostResult
from apricotpin.errors import ErrorKind
from apricotpin.messages.weights import WeightsStatus


class Progress:
    """Hold the sums over the agents of one data centre and model."""

    __slots__ = (
        'bytes_from_origin',
        'bytes_received',
        'chunks_held',
        'chunks_total',
        'hosts',
        'partial',
        'serving',
        'target_version',
    )

    def __init__(self, target_version: str) -> None:
        self.target_version = target_version
        self.hosts = 0
        self.serving = 0
        self.partial = 0
        self.chunks_held = 0
        self.chunks_total = 0
        self.bytes_from_origin = 0
        self.bytes_received = 0

    def add(self, status: WeightsStatus) -> None:
        """Add the status of one agent."""
        serves = status.confirmed_version == status.target_version
        held = status.chunks_total if serves else status.chunks_held
        self.hosts += 1
        self.serving += serves
        self.partial += not serves and status.chunks_held > 0
        self.chunks_held += held
        self.chunks_total += status.chunks_total
        self.bytes_from_origin += status.bytes_from_origin
        self.bytes_received += status.bytes_from_origin
        self.bytes_received += status.bytes_from_peers


Group = tuple[str, str]


def progress_by_group(
    host_results: Iterable[HostResult],
) -> dict[Group, Progress]:
    """Return the progress by data centre and model."""
    groups: dict[Group, Progress] = {}
    for host_result in host_results:
        status = host_result.outcome.unwrap_or(None)
        if status is None or not status.target_version:
            continue
        group = (host_result.host.data_centre, status.model)
        progress = groups.setdefault(group, Progress(status.target_version))
        progress.add(status)
    return groups


def is_unreachable(host_result: HostResult) -> bool:
    """Return whether the call to an agent got no reply.

    An agent beside a service without weights replies with unknown_name.
    """
    if host_result.outcome.is_ok():
        return False
    return (
        ErrorKind.UNKNOWN_NAME.value not in host_result.outcome.err_value.detail
    )


def unreachable_by_data_centre(
    host_results: Iterable[HostResult],
) -> dict[str, int]:
    """Return the number of unreachable agents of each data centre."""
    found: dict[str, int] = {}
    for host_result in host_results:
        data_centre = host_result.host.data_centre
        found[data_centre] = found.get(data_centre, 0) + is_unreachable(
            host_result
        )
    return found


def progress_fields(
    group: Group,
    now: Progress,
    before: Progress | None,
    elapsed_s: float,
) -> dict[str, Any]:
    """Return the values of a group to print; rates compare two samples.

    left_s estimates the time until all chunks are held. It is None if no
    chunk arrived between the samples.
    """
    earlier = before or Progress(now.target_version)
    received = now.bytes_received - earlier.bytes_received
    return {
        'data_centre': group[0],
        'model': group[1],
        'target_version': now.target_version,
        'hosts': now.hosts,
        'serving': now.serving,
        'partial': now.partial,
        'bytes_from_origin': now.bytes_from_origin,
        'rate_bytes_per_s': max(0, round(received / elapsed_s)),
        'left_s': _remaining_s(now, earlier, elapsed_s),
    }


def _remaining_s(
    now: Progress,
    earlier: Progress,
    elapsed_s: float,
) -> float | None:
    missing = now.chunks_total - now.chunks_held
    if not missing and now.serving == now.hosts:
        return 0
    arrived = now.chunks_held - earlier.chunks_held
    return round(missing * elapsed_s / arrived, 1) if arrived > 0 else None
