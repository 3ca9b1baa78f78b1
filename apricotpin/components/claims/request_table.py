"""Table of the open requests of this process."""

from collections.abc import Sequence
from typing import Any

from apricotpin.components.claims.const import (
    OPEN_REQUESTS_MAX,
    UNRECORDED_RECORDS_MAX,
)
from apricotpin.components.claims.keys import Key, created_s_of
from apricotpin.components.claims.requester import (
    Deadlines,
    OpenRequest,
    PeerRequest,
)
from apricotpin.messages.claims import RecordOutcome


class RequestTable:
    """Track open requests and the attempts granted to this process."""

    __slots__ = ('_attempt_by_key', '_last_id', '_requests')

    def __init__(self) -> None:
        self._requests: dict[int, OpenRequest] = {}
        self._attempt_by_key: dict[str, str] = {}
        self._last_id = 0

    def add(
        self,
        message: PeerRequest,
        key: Key,
        reply: Any,
        deadlines: Deadlines,
        is_from_peer: bool = False,
    ) -> OpenRequest | None:
        """Add a request; return None if OPEN_REQUESTS_MAX are open.

        Final records are always added, since their action may have run;
        records_over_limit() limits their number.
        """
        is_record = isinstance(message, RecordOutcome)
        if len(self._requests) >= OPEN_REQUESTS_MAX and not is_record:
            return None
        self._last_id += 1
        request = OpenRequest(
            self._last_id,
            message,
            key,
            reply,
            deadlines,
            is_from_peer,
        )
        self._requests[request.request_id] = request
        return request

    def get(self, request_id: int) -> OpenRequest | None:
        """Return an open request, or None."""
        return self._requests.get(request_id)

    def remove(self, request: OpenRequest) -> None:
        """Remove a request."""
        self._requests.pop(request.request_id, None)

    def overdue(self, now_s: float) -> Sequence[OpenRequest]:
        """Return requests whose time for a reply or for retries is over."""
        return [
            request
            for request in self._requests.values()
            if request.deadlines.retry_until_s <= now_s
            or (
                request.reply is not None
                and request.deadlines.reply_by_s <= now_s
            )
        ]

    def unrecorded(self) -> Sequence[OpenRequest]:
        """Return the requests retried in the background, oldest first."""
        return [
            request
            for request in self._requests.values()
            if request.reply is None
        ]

    def records_over_limit(self) -> Sequence[OpenRequest]:
        """Return the records to drop so that UNRECORDED_RECORDS_MAX remain.

        Closed records of attempts that never ran are dropped before outcomes
        of actions that ran, each oldest first.
        """
        by_importance = sorted(self.unrecorded(), key=_holds_outcome)
        return by_importance[
            : max(0, len(by_importance) - UNRECORDED_RECORDS_MAX)
        ]

    def has_unrecorded_outcome(self) -> bool:
        """Return whether a final record of this process is unrecorded."""
        return any(
            isinstance(request.message, RecordOutcome)
            and not request.is_from_peer
            for request in self._requests.values()
        )

    def record_grant(self, key: Key, attempt_id: str) -> None:
        """Record the attempt that this process was granted for a key."""
        self._attempt_by_key[key.name] = attempt_id

    def attempt_of(self, key: Key) -> str:
        """Return the attempt granted to this process for a key, or ''."""
        return self._attempt_by_key.get(key.name, '')

    def drop_expired_attempts(self, min_created_s: float) -> None:
        """Remove attempts whose keys were created before min_created_s."""
        self._attempt_by_key = {
            name: attempt_id
            for name, attempt_id in self._attempt_by_key.items()
            if created_s_of(name) >= min_created_s
        }

    def remove_attempt(self, key: Key) -> None:
        """Remove an attempt whose record is in the log or was dropped."""
        self._attempt_by_key.pop(key.name, None)


def _holds_outcome(request: OpenRequest) -> bool:
    message = request.message
    return isinstance(message, RecordOutcome) and not message.not_run
