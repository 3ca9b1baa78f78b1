"""State of one claims partition in the entry host that owns it."""

from apricotpin.components.claims import events
from apricotpin.components.claims.claim_index import ClaimIndex
from apricotpin.components.claims.const import APPEND_SPACING_S
from apricotpin.components.claims.records import Record


class PartitionLimits:
    """Describe the configured limits that apply to each partition."""

    __slots__ = ('append_spacing_s', 'key_lifetime_s')

    def __init__(
        self,
        key_lifetime_s: float,
        append_spacing_s: float = APPEND_SPACING_S,
    ) -> None:
        self.key_lifetime_s = key_lifetime_s
        self.append_spacing_s = append_spacing_s


class Partition:
    """Track the claims of a partition and the commands without a reply."""

    __slots__ = (
        'batch',
        'claim_index',
        'failures',
        'has_pending_effect',
        'is_stale',
        'lookups',
        'next_append_s',
        'owner_token',
        'sent_records',
        'waiting',
    )

    def __init__(self, owner_token: str) -> None:
        # Identifies this process in the log; differs for each process start.
        self.owner_token = owner_token
        self.claim_index = ClaimIndex()
        # Commands for a later append, oldest first.
        self.waiting: list[events.ClaimCommand | events.RecordCommand] = []
        # Commands whose records are in the last append, until they are replied
        # to or queued again.
        self.batch: list[events.ClaimCommand | events.RecordCommand] = []
        # The records of the last append, in the order of the log.
        self.sent_records: list[Record] = []
        # Lookups that wait until the stream is read to its end.
        self.lookups: list[events.LookupCommand] = []
        # An append, a read or a pause is in progress.
        self.has_pending_effect = False
        # The stream must be read to its end before the next append.
        self.is_stale = True
        # Failed appends and reads since the stream was last read to its end.
        self.failures = 0
        # Earliest time of the next append, in seconds since the epoch.
        self.next_append_s: float = 0
