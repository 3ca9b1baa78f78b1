"""Track the age of the last proof that this host has the newest state."""

from loguru import logger

from apricotpin.components.follower import const
from apricotpin.components.follower.events import (
    STORE,
    CheckConfirmation,
    FeedRead,
)
from apricotpin.core import Kernel, Reply
from apricotpin.helpers import clocks
from apricotpin.helpers.metrics import set_gauge
from apricotpin.messages.desired import (
    DesiredStateChanged,
    DesiredStateConfirmed,
)
from apricotpin.messages.feeds import Feed
from apricotpin.messages.fleet import ConfigVersionConfirmed


class Confirmation:
    """Hold when a source last showed that the version here is the newest.

    confirmed_s is on the boot-time clock, infinitely long ago before the first
    desired state, and limit_s the age that is too old. last_failure describes
    the last read if it failed. is_reported is true once an age above the limit
    was logged.
    """

    __slots__ = (
        'confirmed_s',
        'is_reported',
        'last_failure',
        'limit_s',
        'version',
    )

    def __init__(self, limit_s: float) -> None:
        self.limit_s = limit_s
        self.confirmed_s = float('-inf')
        self.is_reported = False
        self.last_failure = ''
        self.version = 0


def is_confirmation(message: FeedRead) -> bool:
    """Return whether a read shows that the state here is now the newest.

    Another host that can't read the store replies to a snapshot from its
    cache, which may be old.
    """
    if message.feed is not Feed.OPERATOR or message.page.is_err():
        return False
    return message.source == STORE or not message.is_snapshot


def record_confirmation(confirmation: Confirmation, confirmed_s: float) -> bool:
    """Record a proof; return whether it is younger than the last one."""
    if confirmed_s <= confirmation.confirmed_s:
        return False
    confirmation.confirmed_s = confirmed_s
    return True


def is_unconfirmed(confirmation: Confirmation, now_s: float) -> bool:
    """Return whether the last confirmation is too old."""
    return now_s - confirmation.confirmed_s > confirmation.limit_s


class ConfirmationTracker:
    """Log, measure and publish how old the last confirmation is.

    Hosts that do not read the store learn of confirmations from hellos.
    """

    __slots__ = ('_confirmation', '_kernel')

    def __init__(self, kernel: Kernel, long_poll_s: float) -> None:
        self._kernel = kernel
        self._confirmation = Confirmation(
            long_poll_s + const.UNCONFIRMED_MARGIN_S
        )

    def record_state(self, message: DesiredStateChanged) -> None:
        """Record the version of the desired state that this host has."""
        self._confirmation.version = message.state.version

    def record_read(self, message: FeedRead) -> None:
        """Record what a read says about the state here."""
        if message.feed is not Feed.OPERATOR:
            return
        if message.page.is_err():
            failure = f'{message.source}: {message.page.err_value}'
            self._confirmation.last_failure = failure
        elif is_confirmation(message):
            # A read without entries has waited for them; one with entries was
            # answered as soon as they were there.
            confirmed_s = clocks.boot_time_s()
            self._confirm(confirmed_s, message.source)
            # Hellos pass on only what this host has read. If hosts passed on
            # each other's ages, each hop would make them younger by its delay.
            self._kernel.publish(DesiredStateConfirmed(confirmed_s))

    def record_peer(
        self, message: ConfigVersionConfirmed, reply: Reply
    ) -> None:
        """Record a confirmation that another entry host has."""
        if message.version == self._confirmation.version:
            confirmed_s = clocks.boot_time_s() - message.age_s
            self._confirm(confirmed_s, message.peer_address)
        reply.ok()

    def check(self, _message: CheckConfirmation, reply: Reply) -> None:
        """Measure the age, and log once that it is above the limit."""
        confirmation, now_s = self._confirmation, clocks.boot_time_s()
        reply.ok()
        if not confirmation.version:
            return
        age_s = now_s - confirmation.confirmed_s
        set_gauge(self._kernel, 'desired_state_age_s', age_s)
        if confirmation.is_reported or not is_unconfirmed(confirmation, now_s):
            return
        confirmation.is_reported = True
        logger.bind(
            version=confirmation.version,
            age_ms=_age_ms(confirmation, now_s),
            last_failure=confirmation.last_failure,
        ).warning('desired_state_unconfirmed')

    def _confirm(self, confirmed_s: float, source: str) -> None:
        confirmation, now_s = self._confirmation, clocks.boot_time_s()
        age_ms = _age_ms(confirmation, now_s)
        if not record_confirmation(confirmation, confirmed_s):
            return
        confirmation.last_failure = ''
        if confirmation.is_reported and not is_unconfirmed(confirmation, now_s):
            confirmation.is_reported = False
            logger.bind(
                version=confirmation.version,
                unconfirmed_ms=age_ms,
                source=source,
            ).info('desired_state_confirmed')


def _age_ms(confirmation: Confirmation, now_s: float) -> int:
    """Return the age; -1 stands for a state that was never confirmed."""
    if confirmation.confirmed_s == float('-inf'):
        return -1
    return int((now_s - confirmation.confirmed_s) * 1000)
