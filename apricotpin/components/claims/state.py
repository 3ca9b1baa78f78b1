"""State of a partition at its owner."""

from apricotpin.components.claims import events
from apricotpin.components.claims.const import APPEND_SPACING_S
from apricotpin.components.claims.ledger import Ledger
from apricotpin.components.claims.records import Record


class Rules:
    """Hold the limits that come from the configuration."""

    __slots__ = ('append_spacing_s', 'key_lifetime_s')

    def __init__(
        self,
        key_lifetime_s: float,
        append_spacing_s: float = APPEND_SPACING_S,
    ) -> None:
        self.key_lifetime_s = key_lifetime_s
        self.append_spacing_s = append_spacing_s


class Partition:
    """Hold the state of a partition at its owner."""

    __slots__ = (
        'batch',
        'busy',
        'failures',
        'finds',
        'ledger',
        'owner',
        'ready_s',
        'sent',
        'stale',
        'waiting',
    )

    def __init__(self, owner: str) -> None:
        # Names this process; unique to each start of it.
        self.owner = owner
        self.ledger = Ledger()
        self.waiting: list[events.AskClaim | events.AskFinal] = []
        # Asks whose records are in the append that is not settled yet.
        self.batch: list[events.AskClaim | events.AskFinal] = []
        self.sent: list[Record] = []
        self.finds: list[events.AskFind] = []
        # An append, read or pause is outstanding.
        self.busy = False
        # The stream must be read to its end before the next append.
        self.stale = True
        self.failures = 0
        self.ready_s: float = 0
