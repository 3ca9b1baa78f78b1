"""Fold of one claims stream; every reader of the stream agrees on it."""

from typing import Final

from apricotpin.components.claims.keys import created_s_of
from apricotpin.components.claims.records import (
    Claimed,
    Closed,
    Ended,
    Open,
    Record,
)
from apricotpin.messages import verdicts

_NO_OFFSET: Final = -1
_CLOSED_OFFSET: Final = -2


class Entry:
    """Hold the claim of a key and where its outcome stands in the log.

    Outcomes stay in the log: with bodies of 16 KiB they would not fit into
    the memory of an entry host.
    """

    __slots__ = ('attempt_id', 'claimed_s', 'digest', 'final_offset')

    def __init__(self, digest: str, attempt_id: str, claimed_s: float) -> None:
        self.digest = digest
        # Empty if it is not known which attempt holds the claim.
        self.attempt_id = attempt_id
        self.claimed_s = claimed_s
        self.final_offset = _NO_OFFSET

    @property
    def closed(self) -> bool:
        """Tell whether the attempt reported that it did not run."""
        return self.final_offset == _CLOSED_OFFSET

    @property
    def ended(self) -> bool:
        """Tell whether the outcome is in the log."""
        return self.final_offset >= 0


class Ledger:
    """Hold the claims of a partition up to an offset of its stream."""

    __slots__ = ('entries', 'epoch', 'horizon_s', 'next_offset', 'owner')

    def __init__(self, next_offset: int = 0, horizon_s: float = 0) -> None:
        self.entries: dict[str, Entry] = {}
        self.epoch = 0
        # Empty until an open record was read.
        self.owner = ''
        self.next_offset = next_offset
        self.horizon_s = horizon_s

    def horizon_at(self, now_s: float, key_lifetime_s: float) -> float:
        """Return the creation time before which keys are refused.

        It never goes back, even if the lifetime grows: claims of older keys
        may have been dropped from memory.
        """
        return max(self.horizon_s, now_s - key_lifetime_s)


class Asked:
    """Say who asks about which key, and how long a holder may take."""

    __slots__ = ('attempt_id', 'digest', 'holder_bound_s', 'key')

    def __init__(
        self,
        key: str,
        digest: str,
        attempt_id: str,
        holder_bound_s: float,
    ) -> None:
        self.key = key
        self.digest = digest
        self.attempt_id = attempt_id
        self.holder_bound_s = holder_bound_s


def fold(
    ledger: Ledger,
    offset: int,
    record: Record | None,
    appended_s: float,
) -> None:
    """Apply the record at an offset; a malformed record changes nothing."""
    if isinstance(record, Open):
        # The order of the log decides between owners, so readers that start
        # at different offsets agree on who owns the partition.
        ledger.epoch = record.epoch
        ledger.owner = record.owner
    elif isinstance(record, Claimed):
        _fold_claim(ledger, record, appended_s)
    elif isinstance(record, Closed | Ended):
        _fold_final(ledger, offset, record)
    ledger.next_offset = offset + 1


def verdict_in_memory(ledger: Ledger, asked: Asked, now_s: float) -> str:
    """Return the verdict on a key; "granted" holds only after own append."""
    entry = ledger.entries.get(asked.key)
    if entry is None:
        return verdicts.ABSENT
    if asked.digest and entry.digest != asked.digest:
        return verdicts.REUSED
    if entry.closed:
        return verdicts.NOT_RUN
    if entry.ended:
        return verdicts.DONE
    if asked.attempt_id and entry.attempt_id == asked.attempt_id:
        return verdicts.GRANTED
    if now_s - entry.claimed_s > asked.holder_bound_s:
        return verdicts.UNKNOWN
    return verdicts.RUNNING


def sweep(ledger: Ledger, now_s: float, key_lifetime_s: float) -> None:
    """Drop claims of keys that are refused as expired from now on."""
    ledger.horizon_s = ledger.horizon_at(now_s, key_lifetime_s)
    ledger.entries = {
        key: entry
        for key, entry in ledger.entries.items()
        if created_s_of(key) >= ledger.horizon_s
    }


def _fold_claim(ledger: Ledger, record: Claimed, appended_s: float) -> None:
    if record.key in ledger.entries:
        return
    if not ledger.owner:
        # The open record of this claim has expired from the log, so whether
        # the claim was valid cannot be told: the key is granted to nobody.
        ledger.entries[record.key] = Entry(record.digest, '', appended_s)
        return
    if record.owner != ledger.owner or record.epoch != ledger.epoch:
        return
    ledger.entries[record.key] = Entry(
        record.digest,
        record.attempt_id,
        appended_s,
    )


def _fold_final(
    ledger: Ledger,
    offset: int,
    record: Closed | Ended,
) -> None:
    entry = ledger.entries.get(record.key)
    if entry is None or entry.closed or entry.ended:
        return
    if isinstance(record, Ended):
        if entry.attempt_id in {'', record.attempt_id}:
            entry.final_offset = offset
        return
    if entry.attempt_id == record.attempt_id:
        entry.final_offset = _CLOSED_OFFSET
