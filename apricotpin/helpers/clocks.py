"""Clocks that tell more than the monotonic one."""

import time


def boot_time_s() -> float:
    """Return a steady time in seconds that also counts suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def suspended_s() -> float:
    """Return for how long the host was suspended since it booted.

    The monotonic clock stands still meanwhile, so an age that it gives is
    too small after a suspension.
    """
    return boot_time_s() - time.monotonic()
