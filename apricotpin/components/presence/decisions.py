"""Decide on time-outs, receivers of reports, and the order of switches."""

from typing import Final

from apricotpin.components.presence import const
from apricotpin.helpers.addresses import Address
from apricotpin.messages.desired import DesiredState
from apricotpin.messages.fleet import EntryHello, LoadReport


# Fields of a hello without which it can't be used, and fields of a report that
# earlier versions do not send.
_HELLO_FIELDS: Final = (
    'host_id',
    'peer_address',
    'data_centre',
    'targets',
    'config_version',
    'sent_ms',
)
_OPTIONAL_FIELDS: Final = frozenset(('installing', 'leaving'))


class LastMessage:
    """Hold the last message of a host and its time of receipt.

    received_s is on the monotonic clock.
    """

    __slots__ = ('message', 'received_s')

    def __init__(
        self, message: EntryHello | LoadReport, received_s: float
    ) -> None:
        self.message = message
        self.received_s = received_s

    @property
    def period_s(self) -> float:
        """Return the longest time to the next message, 0 if not said."""
        if isinstance(self.message, EntryHello):
            return self.message.period_ms / 1000
        return 0


def is_usable(message: EntryHello | LoadReport) -> bool:
    """Return whether a received message has its fields and valid addresses.

    A sender of another version may leave out fields, which are then None. A
    message is kept and used at each later tick, so an invalid one would make
    all of them fail.
    """
    is_report = isinstance(message, LoadReport)
    required = message.__slots__ if is_report else _HELLO_FIELDS
    if any(
        getattr(message, field) is None
        for field in required
        if field not in _OPTIONAL_FIELDS
    ):
        return False
    addresses = [message.peer_address]
    if is_report:
        addresses.append(message.address)
    try:
        for address in addresses:
            Address.from_ipv4_text(address)
    except ValueError:
        return False
    return True


def remove_silent(
    last_messages: dict[str, LastMessage],
    timeout_s: float,
    now_s: float,
) -> list[str]:
    """Remove hosts that sent nothing for too long; return their keys.

    That is timeout_s, or several times the period that a host has named.
    """
    silent = [
        key
        for key, last in last_messages.items()
        if now_s - last.received_s
        > max(timeout_s, last.period_s * const.MISSED_PERIODS_MAX)
    ]
    for key in silent:
        last_messages.pop(key)
    return silent


def is_newer(last: LastMessage | None, report: LoadReport) -> bool:
    """Return whether a report was sent after the last one received.

    Datagrams may arrive out of order. A count below half of the last one
    means that the agent has restarted and counts from one again.
    """
    if last is None:
        return True
    last_count = last.message.count
    return report.count > last_count or report.count < last_count / 2


def select_receivers(
    hellos: list[EntryHello],
    data_centre: str,
    count: int,
) -> list[EntryHello]:
    """Return the hellos of the entry hosts to send report number count to."""
    ordered = sorted(hellos, key=lambda hello: hello.host_id)
    local = [hello for hello in ordered if hello.data_centre == data_centre]
    remote = [hello for hello in ordered if hello.data_centre != data_centre]
    remote_share = -(-len(remote) // const.REMOTE_REPORT_EVERY)
    return [
        *_take_turns(local, const.LOCAL_RECEIVERS_MAX, count),
        *_take_turns(
            remote, min(remote_share, const.REMOTE_RECEIVERS_MAX), count
        ),
    ]


def _take_turns(
    hellos: list[EntryHello],
    limit: int,
    count: int,
) -> list[EntryHello]:
    """Return at most limit hellos, starting after those of the last count."""
    if len(hellos) <= limit:
        return hellos
    first = count * limit % len(hellos)
    return (hellos[first:] + hellos[:first])[:limit]


def resumable_services(state: DesiredState) -> frozenset[str]:
    """Return the services whose requests may all resume at another worker."""
    all_services = {
        split.service for route in state.routes for split in route.splits
    }
    not_resumable = {
        split.service
        for route in state.routes
        for split in route.splits
        if not route.is_repeatable or route.max_attempts < 2
    }
    return frozenset(all_services - not_resumable)
