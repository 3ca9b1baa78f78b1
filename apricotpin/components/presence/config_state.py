"""The version of the desired state here, and how old its confirmation is."""

from apricotpin.components.presence import const
from apricotpin.core import Reply
from apricotpin.helpers import clocks
from apricotpin.messages.desired import DesiredStateConfirmed
from apricotpin.messages.fleet import ConfigVersionConfirmed, EntryHello

_MS_PER_S = 1000


class ConfigState:
    """Hold the version in force, and when it was last shown to be the newest.

    confirmed_s is of the last read of this host, heard_s of the last hello that
    was passed on. Both are on the boot-time clock, infinitely long ago if there
    is none.
    """

    __slots__ = ('confirmed_s', 'heard_s', 'version')

    def __init__(self) -> None:
        self.version = 0
        self.confirmed_s = float('-inf')
        self.heard_s = float('-inf')

    def record_confirmation(
        self, message: DesiredStateConfirmed, reply: Reply
    ) -> None:
        """Record a confirmation, which the next hellos carry."""
        self.confirmed_s = message.confirmed_s
        reply.ok()

    def age_ms(self) -> int:
        """Return the age of the last confirmation, -1 if there is none."""
        if self.confirmed_s == float('-inf'):
            return -1
        age_ms = int((clocks.boot_time_s() - self.confirmed_s) * _MS_PER_S)
        return min(age_ms, const.CONFIRMATION_AGE_MAX_MS)


def find_confirmation(
    config: ConfigState, hello: EntryHello, now_s: float
) -> ConfigVersionConfirmed | None:
    """Return the confirmation of a hello, and record it, if it is younger."""
    if hello.config_version != config.version or hello.config_age_ms < 0:
        return None
    age_s = hello.config_age_ms / _MS_PER_S
    heard_s = now_s - age_s
    known_s = max(config.confirmed_s, config.heard_s)
    if heard_s - known_s < const.CONFIRMATION_STEP_S:
        return None
    config.heard_s = heard_s
    return ConfigVersionConfirmed(
        hello.peer_address, hello.config_version, age_s
    )
