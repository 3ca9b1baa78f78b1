"""The turns of workers to switch, computed for one worker at a time."""

from apricotpin.components.presence import const, switching


def switch_turn(report, reports, version):
    """Return how many workers a worker waits for, and its switch group."""
    ordered = sorted(
        (
            other
            for other in reports
            if other.service_name == report.service_name
            and other.data_centre == report.data_centre
        ),
        key=lambda other: other.address,
    )
    size = -(-len(ordered) // const.SWITCH_GROUPS_MAX)
    addresses = [other.address for other in ordered]
    group = addresses.index(report.address) // size
    earlier = ordered[: group * size]
    return switching.count_outdated(earlier, version), group
