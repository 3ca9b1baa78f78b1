"""Records of a claims stream and their JSON encoding in the log."""

import base64
import binascii
from typing import Any, Final

from apricotpin.components.claims.const import OUTCOME_BODY_BYTES_MAX
from apricotpin.components.claims.keys import created_s_of
from apricotpin.messages.claims import Outcome

_KIND: Final = 'kind'


class Open:
    """Record that an owner takes the partition over.

    Claims of other owners and epochs after this record have no effect.
    """

    __slots__ = ('epoch', 'owner')

    def __init__(self, epoch: int, owner: str) -> None:
        self.epoch = epoch
        self.owner = owner


class Claimed:
    """Record that an attempt claims a key.

    The first valid record of a key holds the claim.
    """

    __slots__ = ('attempt_id', 'digest', 'epoch', 'host_id', 'key', 'owner')

    def __init__(
        self,
        key: str,
        digest: str,
        attempt_id: str,
        host_id: str,
        epoch: int = 0,
        owner: str = '',
    ) -> None:
        self.key = key
        self.digest = digest
        self.attempt_id = attempt_id
        self.host_id = host_id
        self.epoch = epoch
        self.owner = owner


class Closed:
    """Record that the attempt did not run the action and never will."""

    __slots__ = ('attempt_id', 'key')

    def __init__(self, key: str, attempt_id: str) -> None:
        self.key = key
        self.attempt_id = attempt_id


class Ended:
    """Record the outcome of the attempt."""

    __slots__ = ('attempt_id', 'body_omitted', 'key', 'outcome')

    def __init__(
        self,
        key: str,
        attempt_id: str,
        outcome: Outcome,
        body_omitted: bool = False,
    ) -> None:
        self.key = key
        self.attempt_id = attempt_id
        self.outcome = outcome
        self.body_omitted = body_omitted

    @classmethod
    def from_outcome(
        cls,
        key: str,
        attempt_id: str,
        outcome: Outcome,
    ) -> 'Ended':
        """Return the record, without the body if that exceeds 16 KiB."""
        if len(outcome.body) <= OUTCOME_BODY_BYTES_MAX:
            return cls(key, attempt_id, outcome)
        bare = Outcome(outcome.http_status, outcome.content_type, b'')
        return cls(key, attempt_id, bare, body_omitted=True)


Record = Open | Claimed | Closed | Ended


def encode(record: Record) -> dict[str, Any]:
    """Return the JSON object of a record."""
    if isinstance(record, Ended):
        return _encode_ended(record)
    fields = {name: getattr(record, name) for name in record.__slots__}
    return {_KIND: type(record).__name__.lower(), **fields}


def decode(fields: Any) -> Record | None:
    """Return the record of a JSON object, or None if it is malformed."""
    try:
        return _decode(dict(fields))
    except (KeyError, TypeError, ValueError, binascii.Error):
        return None


def _encode_ended(record: Ended) -> dict[str, Any]:
    return {
        _KIND: 'ended',
        'key': record.key,
        'attempt_id': record.attempt_id,
        'http_status': record.outcome.http_status,
        'content_type': record.outcome.content_type,
        'body': base64.b64encode(record.outcome.body).decode(),
        'body_omitted': record.body_omitted,
    }


def _decode(fields: dict[str, Any]) -> Record | None:
    kind = fields.pop(_KIND)
    if kind == 'open':
        return Open(**fields)
    if kind == 'claimed':
        return _decode_claimed(fields)
    if kind == 'closed':
        return Closed(**fields)
    if kind == 'ended':
        return _decode_ended(fields)
    return None


def _decode_claimed(fields: dict[str, Any]) -> Claimed:
    record = Claimed(**fields)
    # Raises ValueError, so that every key in a claim index has a creation time.
    created_s_of(record.key)
    return record


def _decode_ended(fields: dict[str, Any]) -> Ended:
    outcome = Outcome(
        int(fields['http_status']),
        fields['content_type'],
        base64.b64decode(fields['body'], validate=True),
    )
    return Ended(
        fields['key'],
        fields['attempt_id'],
        outcome,
        fields['body_omitted'],
    )
