"""All error kinds and the HTTP response that belongs to each."""

import enum
import types
from http import HTTPStatus
from typing import Final


class ErrorKind(enum.Enum):
    """Name every way in which a request or an operation can fail."""

    BAD_REQUEST = 'bad_request'
    REQUEST_TOO_LARGE = 'request_too_large'
    UNKNOWN_SERVICE = 'unknown_service'
    UNKNOWN_ROUTE = 'unknown_route'
    API_KEY_UNKNOWN = 'api_key_unknown'
    HEAD_TOO_LARGE = 'head_too_large'
    KEY_REQUIRED = 'key_required'
    KEY_INVALID = 'key_invalid'
    KEY_EXPIRED = 'key_expired'
    KEY_REUSED = 'key_reused'
    OUTCOME_NOT_FOUND = 'outcome_not_found'
    OUTCOME_NOT_STORED = 'outcome_not_stored'
    NOT_RUN = 'not_run'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    CLAIMS_UNAVAILABLE = 'claims_unavailable'
    OVERLOADED = 'overloaded'
    NO_UPSTREAM = 'no_upstream'
    UPSTREAM_FAILED = 'upstream_failed'
    ANSWER_TOO_LARGE = 'answer_too_large'
    RETRY_BUDGET_EMPTY = 'retry_budget_empty'
    PROMPT_QUARANTINED = 'prompt_quarantined'
    STOPPING = 'stopping'
    NOT_READY = 'not_ready'
    TIMEOUT = 'timeout'
    MAILBOX_FULL = 'mailbox_full'
    UNKNOWN_NAME = 'unknown_name'
    INTERNAL = 'internal'
    SETTINGS_INVALID = 'settings_invalid'
    CONFIG_INVALID = 'config_invalid'
    CONFIG_CONFLICT = 'config_conflict'
    PORT_TAKEN = 'port_taken'
    LOG_UNAVAILABLE = 'log_unavailable'
    LOG_OFFSET_EXPIRED = 'log_offset_expired'
    HOST_LIST_UNAVAILABLE = 'host_list_unavailable'
    ORIGIN_UNAVAILABLE = 'origin_unavailable'
    ORIGIN_BUSY = 'origin_busy'
    PEER_UNAVAILABLE = 'peer_unavailable'
    PEER_BUSY = 'peer_busy'
    CHUNK_NOT_YET = 'chunk_not_yet'
    CHUNK_CORRUPT = 'chunk_corrupt'
    MANIFEST_CORRUPT = 'manifest_corrupt'
    VERSION_UNKNOWN = 'version_unknown'
    VERSION_TOO_LARGE = 'version_too_large'
    ENGINE_UNAVAILABLE = 'engine_unavailable'
    ENGINE_REFUSED = 'engine_refused'
    ENGINE_OUTCOME_UNKNOWN = 'engine_outcome_unknown'


class Repeat(enum.Enum):
    """State whether the caller may send the request again."""

    NO = 'no'
    SAME_KEY = 'same_key'
    NEW_KEY = 'new_key'
    YES = 'yes'


class Executed(enum.Enum):
    """State whether the upstream ran the request."""

    NO = 'no'
    UNKNOWN = 'unknown'
    YES = 'yes'


class ErrorResponse:
    """Describe the response to a caller for an error kind.

    executed says whether the upstream ran the request, repeat whether the
    caller may send it again.
    """

    __slots__ = ('executed', 'http_status', 'repeat')

    def __init__(
        self,
        http_status: int,
        repeat: Repeat,
        executed: Executed,
    ) -> None:
        self.http_status = http_status
        self.repeat = repeat
        self.executed = executed


class Failure:
    """Carry an error kind and a detail for the operator.

    retry_after_s is the time after which a retry can succeed, None if that is
    not known.
    """

    __slots__ = ('detail', 'kind', 'retry_after_s')

    def __init__(
        self,
        kind: ErrorKind,
        detail: str = '',
        retry_after_s: float | None = None,
    ) -> None:
        self.kind = kind
        self.detail = detail
        self.retry_after_s = retry_after_s

    def __repr__(self) -> str:
        return f'{self.kind.value}: {self.detail}'


# Response for the kinds that never reach a caller.
_INTERNAL_ERROR_RESPONSE: Final = ErrorResponse(
    HTTPStatus.INTERNAL_SERVER_ERROR, Repeat.NO, Executed.UNKNOWN
)

ERROR_RESPONSES: Final = types.MappingProxyType(
    {
        ErrorKind.BAD_REQUEST: ErrorResponse(
            HTTPStatus.BAD_REQUEST, Repeat.NO, Executed.NO
        ),
        ErrorKind.REQUEST_TOO_LARGE: ErrorResponse(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE, Repeat.NO, Executed.NO
        ),
        ErrorKind.UNKNOWN_SERVICE: ErrorResponse(
            HTTPStatus.NOT_FOUND, Repeat.NO, Executed.NO
        ),
        ErrorKind.UNKNOWN_ROUTE: ErrorResponse(
            HTTPStatus.NOT_FOUND, Repeat.NO, Executed.NO
        ),
        ErrorKind.API_KEY_UNKNOWN: ErrorResponse(
            HTTPStatus.UNAUTHORIZED, Repeat.NO, Executed.NO
        ),
        ErrorKind.HEAD_TOO_LARGE: ErrorResponse(
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            Repeat.NO,
            Executed.NO,
        ),
        ErrorKind.KEY_REQUIRED: ErrorResponse(
            HTTPStatus.BAD_REQUEST, Repeat.NEW_KEY, Executed.NO
        ),
        ErrorKind.KEY_INVALID: ErrorResponse(
            HTTPStatus.BAD_REQUEST, Repeat.NEW_KEY, Executed.NO
        ),
        # The claim of an expired key may have been removed from the log.
        ErrorKind.KEY_EXPIRED: ErrorResponse(
            HTTPStatus.GONE, Repeat.NO, Executed.UNKNOWN
        ),
        ErrorKind.KEY_REUSED: ErrorResponse(
            HTTPStatus.UNPROCESSABLE_ENTITY, Repeat.NEW_KEY, Executed.UNKNOWN
        ),
        ErrorKind.OUTCOME_NOT_FOUND: ErrorResponse(
            HTTPStatus.NOT_FOUND, Repeat.SAME_KEY, Executed.UNKNOWN
        ),
        # The request ran, but the response was too large for the log.
        ErrorKind.OUTCOME_NOT_STORED: ErrorResponse(
            HTTPStatus.GONE, Repeat.NO, Executed.YES
        ),
        ErrorKind.NOT_RUN: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE, Repeat.NEW_KEY, Executed.NO
        ),
        ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(
            HTTPStatus.GATEWAY_TIMEOUT, Repeat.SAME_KEY, Executed.UNKNOWN
        ),
        # Another attempt with the same key may have run, hence not "no".
        ErrorKind.CLAIMS_UNAVAILABLE: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Repeat.SAME_KEY,
            Executed.UNKNOWN,
        ),
        ErrorKind.OVERLOADED: ErrorResponse(
            HTTPStatus.TOO_MANY_REQUESTS, Repeat.YES, Executed.NO
        ),
        ErrorKind.NO_UPSTREAM: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE, Repeat.YES, Executed.NO
        ),
        ErrorKind.UPSTREAM_FAILED: ErrorResponse(
            HTTPStatus.BAD_GATEWAY, Repeat.YES, Executed.UNKNOWN
        ),
        # The upstream ran the request, and the response to another run would
        # be just as large.
        ErrorKind.ANSWER_TOO_LARGE: ErrorResponse(
            HTTPStatus.BAD_GATEWAY, Repeat.NO, Executed.YES
        ),
        ErrorKind.RETRY_BUDGET_EMPTY: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE, Repeat.YES, Executed.UNKNOWN
        ),
        # The request is valid, and a later version of the workers may serve it.
        ErrorKind.PROMPT_QUARANTINED: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE, Repeat.NO, Executed.NO
        ),
        ErrorKind.STOPPING: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE, Repeat.YES, Executed.NO
        ),
        ErrorKind.NOT_READY: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE, Repeat.YES, Executed.NO
        ),
        ErrorKind.TIMEOUT: ErrorResponse(
            HTTPStatus.GATEWAY_TIMEOUT, Repeat.YES, Executed.UNKNOWN
        ),
        ErrorKind.MAILBOX_FULL: ErrorResponse(
            HTTPStatus.SERVICE_UNAVAILABLE, Repeat.YES, Executed.NO
        ),
    }
)


def error_response_for(kind: ErrorKind) -> ErrorResponse:
    """Return the response for a kind; internal kinds give status 500."""
    return ERROR_RESPONSES.get(kind, _INTERNAL_ERROR_RESPONSE)
