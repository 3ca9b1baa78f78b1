"""Decide who is present, and in which order workers switch versions."""

from collections.abc import Iterable

from apricotpin.components.presence import const
from apricotpin.messages.desired import DesiredState
from apricotpin.messages.fleet import EntryHello, LoadReport


class Seen:
    """Hold the last message of a host and when it came."""

    __slots__ = ('heard_s', 'message')

    def __init__(
        self, message: EntryHello | LoadReport, heard_s: float
    ) -> None:
        self.message = message
        self.heard_s = heard_s


def drop_silent(
    seen: dict[str, Seen],
    longest_s: float,
    now_s: float,
) -> list[str]:
    """Remove and return those who were silent for too long."""
    silent = [
        name for name, one in seen.items() if now_s - one.heard_s > longest_s
    ]
    for name in silent:
        seen.pop(name)
    return silent


def is_newer(known: Seen | None, report: LoadReport) -> bool:
    """Tell whether a report was sent after the known one.

    An agent that starts again counts from the start, with a small count.
    """
    if known is None:
        return True
    last = known.message.count
    return report.count > last or report.count < last / 2


def receivers(
    hellos: list[EntryHello],
    data_centre: str,
    count: int,
) -> list[EntryHello]:
    """Return the entry hosts that are sent the report with this count."""
    ordered = sorted(hellos, key=lambda hello: hello.host_id)
    near = [one for one in ordered if one.data_centre == data_centre]
    far = [one for one in ordered if one.data_centre != data_centre]
    far_share = -(-len(far) // const.FAR_REPORT_EVERY)
    return [
        *_in_turn(near, const.NEAR_RECEIVERS, count),
        *_in_turn(far, min(far_share, const.FAR_RECEIVERS), count),
    ]


def _in_turn(
    hellos: list[EntryHello],
    most: int,
    count: int,
) -> list[EntryHello]:
    if len(hellos) <= most:
        return hellos
    first = count * most % len(hellos)
    return (hellos[first:] + hellos[:first])[:most]


def resumable_services(state: DesiredState) -> set[str]:
    """Return the services of which every request may go on elsewhere."""
    all_services = {
        split.service for route in state.routes for split in route.splits
    }
    kept_whole = {
        split.service
        for route in state.routes
        for split in route.splits
        if not route.is_repeatable or route.max_attempts < 2
    }
    return all_services - kept_whole


def group_of(
    address: str,
    reports: list[LoadReport],
) -> tuple[int, list[LoadReport]]:
    """Return the group of the worker at an address, and those before it.

    The workers of a data centre and service switch in groups by address.
    """
    ordered = sorted(reports, key=lambda report: report.address)
    addresses = [report.address for report in ordered]
    if address not in addresses:
        return 0, []
    size = -(-len(ordered) // const.SWITCH_GROUPS)
    group = addresses.index(address) // size
    return group, ordered[: group * size]


def turn_of(
    report: LoadReport,
    agents: Iterable[Seen],
    version: int,
) -> tuple[int, int]:
    """Return how many workers a worker waits for, and its group."""
    fellows = [
        seen.message
        for seen in agents
        if seen.message.service_name == report.service_name
        and seen.message.data_centre == report.data_centre
    ]
    group, earlier = group_of(report.address, fellows)
    return count_behind(earlier, version), group


def count_behind(reports: list[LoadReport], version: int) -> int:
    """Return how many workers still serve an older version.

    One that loads the new version names none, so the next group drains
    meanwhile.
    """
    return sum(
        1
        for report in reports
        if report.reachable and 0 < report.version < version
    )
