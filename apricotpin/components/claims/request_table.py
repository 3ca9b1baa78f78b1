"""The requests that this process holds until they are answered."""

from collections.abc import Sequence
from typing import Any

from apricotpin.components.claims.const import REQUESTS_MAX, UNRECORDED_MAX
from apricotpin.components.claims.keys import Key, created_s_of
from apricotpin.components.claims.requester import Asking, Deadlines, Request
from apricotpin.messages.claims import RecordOutcome


class RequestTable:
    """Hold open requests and the attempts that this process was granted."""

    __slots__ = ('_attempts', '_last_id', '_requests')

    def __init__(self) -> None:
        self._requests: dict[int, Request] = {}
        self._attempts: dict[str, str] = {}
        self._last_id = 0

    def add(
        self,
        message: Asking,
        key: Key,
        reply: Any,
        deadlines: Deadlines,
        from_peer: bool = False,
    ) -> Request | None:
        """Hold a new request, or return None if there are too many.

        Records are always taken, since their action may have run; how many
        of them are kept is bounded by surplus().
        """
        is_record = isinstance(message, RecordOutcome)
        if len(self._requests) >= REQUESTS_MAX and not is_record:
            return None
        self._last_id += 1
        request = Request(
            self._last_id,
            message,
            key,
            reply,
            deadlines,
            from_peer,
        )
        self._requests[request.ask_id] = request
        return request

    def get(self, ask_id: int) -> Request | None:
        """Return an open request."""
        return self._requests.get(ask_id)

    def remove(self, request: Request) -> None:
        """Forget a request."""
        self._requests.pop(request.ask_id, None)

    def overdue(self, now_s: float) -> Sequence[Request]:
        """Return requests that are to be answered or given up now."""
        return [
            request
            for request in self._requests.values()
            if request.deadlines.give_up_s <= now_s
            or (
                request.reply is not None
                and request.deadlines.answer_s <= now_s
            )
        ]

    def unrecorded(self) -> Sequence[Request]:
        """Return records that are retried in the background, oldest first."""
        return [
            request
            for request in self._requests.values()
            if request.reply is None
        ]

    def surplus(self) -> Sequence[Request]:
        """Return the oldest records above the bound of those kept.

        Closings of attempts that never ran go first, outcomes of actions
        that ran go last.
        """
        kept = sorted(self.unrecorded(), key=_holds_outcome)
        return kept[: max(0, len(kept) - UNRECORDED_MAX)]

    def draining(self) -> bool:
        """Tell whether an outcome waits to be recorded."""
        return any(
            isinstance(request.message, RecordOutcome) and not request.from_peer
            for request in self._requests.values()
        )

    def note_granted(self, key: Key, attempt_id: str) -> None:
        """Remember which attempt this process runs."""
        self._attempts[key.name] = attempt_id

    def attempt_of(self, key: Key) -> str:
        """Return the attempt that this process was granted, or nothing."""
        return self._attempts.get(key.name, '')

    def sweep(self, horizon_s: float) -> None:
        """Forget attempts whose keys were created before the horizon."""
        self._attempts = {
            name: attempt_id
            for name, attempt_id in self._attempts.items()
            if created_s_of(name) >= horizon_s
        }

    def forget_attempt(self, key: Key) -> None:
        """Forget an attempt whose record is durable or given up."""
        self._attempts.pop(key.name, None)


def _holds_outcome(request: Request) -> bool:
    message = request.message
    return isinstance(message, RecordOutcome) and not message.not_run
