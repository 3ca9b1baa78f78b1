"""Client of the platform's append-only log service."""

from collections.abc import Sequence
from typing import Any, Final

from result import Err, Ok, Result

from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.http import HttpRequest, HttpResponse, send_request

_HTTP_OK: Final = 200
_READ_MARGIN_S: Final = 2.0
_READ_LIMIT: Final = 500
_MS_PER_S: Final = 1000


class LogRecord:
    """Hold one record of a stream."""

    __slots__ = ('appended_ms', 'offset', 'value')

    def __init__(self, offset: int, appended_ms: int, value: Any) -> None:
        self.offset = offset
        self.appended_ms = appended_ms
        self.value = value

    @classmethod
    def from_json(cls, fields: Any) -> 'LogRecord':
        """Build a record from the JSON object that the log sends."""
        return cls(fields['offset'], fields['appended_ms'], fields['value'])


class LogPage:
    """Hold the records read and the first and next offset of the stream."""

    __slots__ = ('earliest_offset', 'next_offset', 'records')

    def __init__(
        self,
        records: list[LogRecord],
        earliest_offset: int,
        next_offset: int,
    ) -> None:
        self.records = records
        self.earliest_offset = earliest_offset
        self.next_offset = next_offset


class LogClient:
    """Append to and read from streams of the log service."""

    __slots__ = ('_log_url', '_timeout_s')

    def __init__(self, log_url: str, timeout_s: float) -> None:
        self._log_url = log_url.rstrip('/')
        self._timeout_s = timeout_s

    def append(
        self,
        stream: str,
        values: Sequence[Any],
    ) -> Result[int, Failure]:
        """Append each value as a record and return the offset of the first.

        After a failure the records may have been appended or not.
        """
        request = HttpRequest.with_json(
            'POST',
            f'{self._log_url}/streams/{stream}/records',
            {'records': list(values)},
        )
        response = self._request(request, self._timeout_s)
        return response.map(lambda body: int(body['first_offset']))

    def read(
        self,
        stream: str,
        from_offset: int,
        wait_ms: int = 0,
        limit: int = _READ_LIMIT,
    ) -> Result[LogPage, Failure]:
        """Read records from an offset on; wait up to wait_ms for the first."""
        query = f'from={from_offset}&limit={limit}&wait_ms={wait_ms}'
        request = HttpRequest(
            'GET',
            f'{self._log_url}/streams/{stream}/records?{query}',
        )
        timeout_s = max(self._timeout_s, wait_ms / _MS_PER_S + _READ_MARGIN_S)
        return self._request(request, timeout_s).map(_page_from)

    def _request(
        self,
        request: HttpRequest,
        timeout_s: float,
    ) -> Result[Any, Failure]:
        response = send_request(request, timeout_s, ErrorKind.LOG_UNAVAILABLE)
        return response.and_then(_document_of)


def _document_of(response: HttpResponse) -> Result[Any, Failure]:
    if response.status != _HTTP_OK:
        detail = f'the log service responded with status {response.status}'
        return Err(Failure(ErrorKind.LOG_UNAVAILABLE, detail))
    try:
        return Ok(response.document())
    except ValueError as error:
        return Err(Failure(ErrorKind.LOG_UNAVAILABLE, str(error)))


def _page_from(body: Any) -> LogPage:
    return LogPage(
        [LogRecord.from_json(fields) for fields in body['records']],
        body['earliest_offset'],
        body['next_offset'],
    )
