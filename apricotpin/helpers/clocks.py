"""The boot-time clock, which also counts suspensions of the host."""

import time


def boot_time_s() -> float:
    """Return the time since boot in seconds, including suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def suspended_s() -> float:
    """Return for how many seconds the host was suspended since it booted.

    The monotonic clock does not advance during a suspension, so an age that
    is measured with it is too small afterwards.
    """
    return boot_time_s() - time.monotonic()
