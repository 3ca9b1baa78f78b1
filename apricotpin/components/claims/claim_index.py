"""Index of the claims in one stream.

Applying the records in the order of the log gives every reader of the stream
the same claims.
"""

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

# Values of ClaimEntry.final_offset in place of the offset of an Ended record:
# the key has no final record, or a Closed record.
_NO_OFFSET: Final = -1
_CLOSED_OFFSET: Final = -2


class ClaimEntry:
    """Describe the claim of a key and the offset of its outcome.

    Outcomes stay in the log: with bodies of up to 16 KiB they would not fit
    into the memory of an entry host.
    """

    __slots__ = ('attempt_id', 'claimed_s', 'digest', 'final_offset')

    def __init__(self, digest: str, attempt_id: str, claimed_s: float) -> None:
        self.digest = digest
        # Empty if the attempt that holds the claim is unknown.
        self.attempt_id = attempt_id
        self.claimed_s = claimed_s
        self.final_offset = _NO_OFFSET

    @property
    def is_closed(self) -> bool:
        """Return whether the attempt was closed, so that it never runs."""
        return self.final_offset == _CLOSED_OFFSET

    @property
    def is_ended(self) -> bool:
        """Return whether the outcome is in the log."""
        return self.final_offset >= 0


class ClaimIndex:
    """Track the claims in a stream up to, but without, next_offset."""

    __slots__ = ('entries', 'epoch', 'min_created_s', 'next_offset', 'owner')

    def __init__(self, next_offset: int = 0, min_created_s: float = 0) -> None:
        self.entries: dict[str, ClaimEntry] = {}
        self.epoch = 0
        # Owner and epoch of the last Open record; empty before the first one.
        self.owner = ''
        self.next_offset = next_offset
        # Creation time before which claims were dropped, in s since the epoch.
        self.min_created_s = min_created_s

    def min_created_s_at(self, now_s: float, key_lifetime_s: float) -> float:
        """Return the creation time before which keys are refused.

        It never decreases, even if the configured lifetime is raised: claims
        of older keys may have been dropped from memory.
        """
        return max(self.min_created_s, now_s - key_lifetime_s)


class KeyQuery:
    """Identify the key, request and attempt that a command is about.

    holder_timeout_s is the age after which a claim without an outcome gets the
    verdict "unknown". The digest is empty unless a claim is requested; the
    attempt_id is empty in lookups.
    """

    __slots__ = ('attempt_id', 'digest', 'holder_timeout_s', 'key')

    def __init__(
        self,
        key: str,
        digest: str,
        attempt_id: str,
        holder_timeout_s: float,
    ) -> None:
        self.key = key
        self.digest = digest
        self.attempt_id = attempt_id
        self.holder_timeout_s = holder_timeout_s


def apply_record(
    claim_index: ClaimIndex,
    offset: int,
    record: Record | None,
    appended_s: float,
) -> None:
    """Apply the record at an offset; a malformed record changes nothing."""
    if isinstance(record, Open):
        # The last Open record in the log determines the owner, so readers
        # that start at different offsets agree on it.
        claim_index.epoch = record.epoch
        claim_index.owner = record.owner
    elif isinstance(record, Claimed):
        _apply_claim(claim_index, record, appended_s)
    elif isinstance(record, Closed | Ended):
        _apply_final_record(claim_index, offset, record)
    claim_index.next_offset = offset + 1


def verdict_in_memory(
    claim_index: ClaimIndex, query: KeyQuery, now_s: float
) -> str:
    """Return the verdict on a key.

    "granted" is valid only after an append of this owner that follows the
    indexed records.
    """
    entry = claim_index.entries.get(query.key)
    if entry is None:
        return verdicts.ABSENT
    if query.digest and entry.digest != query.digest:
        return verdicts.REUSED
    if entry.is_closed:
        return verdicts.NOT_RUN
    if entry.is_ended:
        return verdicts.DONE
    if query.attempt_id and entry.attempt_id == query.attempt_id:
        return verdicts.GRANTED
    if now_s - entry.claimed_s > query.holder_timeout_s:
        return verdicts.UNKNOWN
    return verdicts.RUNNING


def drop_expired_claims(
    claim_index: ClaimIndex, now_s: float, key_lifetime_s: float
) -> None:
    """Remove claims of expired keys, and refuse such keys from now on."""
    claim_index.min_created_s = claim_index.min_created_s_at(
        now_s, key_lifetime_s
    )
    claim_index.entries = {
        key: entry
        for key, entry in claim_index.entries.items()
        if created_s_of(key) >= claim_index.min_created_s
    }


def _apply_claim(
    claim_index: ClaimIndex, record: Claimed, appended_s: float
) -> None:
    if record.key in claim_index.entries:
        return
    if not claim_index.owner:
        # The Open record before this claim has expired in the log, so it is
        # unknown whether the claim is valid. No attempt is granted the key.
        claim_index.entries[record.key] = ClaimEntry(
            record.digest, '', appended_s
        )
        return
    if record.owner != claim_index.owner or record.epoch != claim_index.epoch:
        return
    claim_index.entries[record.key] = ClaimEntry(
        record.digest,
        record.attempt_id,
        appended_s,
    )


def _apply_final_record(
    claim_index: ClaimIndex,
    offset: int,
    record: Closed | Ended,
) -> None:
    entry = claim_index.entries.get(record.key)
    if entry is None or entry.is_closed or entry.is_ended:
        return
    if isinstance(record, Ended):
        if entry.attempt_id in {'', record.attempt_id}:
            entry.final_offset = offset
        return
    if entry.attempt_id == record.attempt_id:
        entry.final_offset = _CLOSED_OFFSET
