"""HTTP client that reads chunks from the origin and its mirrors."""

from http import HTTPStatus
from typing import Final

from geventhttpclient.httplib import HTTPConnection
from geventhttpclient.url import URL
from result import Err, Ok, Result

from apricotpin.components.weights import const
from apricotpin.errors import ErrorKind, Failure
from apricotpin.messages.transfers import FetchOrder

_STATUS_KINDS: Final = (
    (HTTPStatus.TOO_MANY_REQUESTS, ErrorKind.ORIGIN_BUSY),
    (HTTPStatus.NOT_FOUND, ErrorKind.VERSION_UNKNOWN),
)


class OriginClient:
    """Own one connection to the origin; use the next URL after a failure."""

    __slots__ = ('_connection', '_source_ip', '_url_index', '_urls')

    def __init__(self, urls: list[str], source_ip: str) -> None:
        self._urls = urls
        self._source_ip = source_ip
        self._url_index = 0
        self._connection: HTTPConnection | None = None

    def fetch(self, order: FetchOrder) -> Result[bytes, Failure]:
        """Read a chunk or the manifest; fail after timeout_s without a byte."""
        if not self._urls:
            detail = 'setting origin_urls is empty'
            return Err(Failure(ErrorKind.ORIGIN_UNAVAILABLE, detail))
        url = URL(self._urls[self._url_index % len(self._urls)])
        fetched = self._get(url, _origin_path(order), order.timeout_s)
        if fetched.is_err():
            self.close()
            self._url_index += 1
        return fetched

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _get(
        self,
        url: URL,
        path: str,
        timeout_s: float,
    ) -> Result[bytes, Failure]:
        try:
            return self._read_response(url, path, timeout_s)
        except Exception as error:
            # geventhttpclient raises several unrelated exception types.
            detail = f'GET {path} at {url.host}:{url.port}: {error!r}'
            return Err(Failure(ErrorKind.ORIGIN_UNAVAILABLE, detail))
        except BaseException:
            # A greenlet that is killed during a read must not leave the rest
            # of the response on the connection.
            self.close()
            raise

    def _read_response(
        self,
        url: URL,
        path: str,
        timeout_s: float,
    ) -> Result[bytes, Failure]:
        connection = self._connect(url, timeout_s)
        connection.request('GET', f'{url.path.rstrip("/")}{path}')
        response = connection.getresponse()
        body = bytes(response.read())
        if response.status != HTTPStatus.OK:
            detail = (
                f'origin responded {response.status}, not 200, to GET {path}'
            )
            return Err(Failure(_error_kind(response.status), detail))
        declared = response.getheader('content-length')
        if declared is not None and int(declared) != len(body):
            detail = f'got {len(body)} of {declared} bytes for GET {path}'
            return Err(Failure(ErrorKind.ORIGIN_UNAVAILABLE, detail))
        return Ok(body)

    def _connect(self, url: URL, timeout_s: float) -> HTTPConnection:
        if self._connection is None:
            self._connection = HTTPConnection(
                url.host,
                url.port,
                timeout=timeout_s,
                source_address=(self._source_ip, 0),
            )
        return self._connection


def _origin_path(order: FetchOrder) -> str:
    version_path = f'/weights/{order.model}/{order.version}'
    if order.index == const.MANIFEST_INDEX:
        return f'{version_path}/manifest'
    return f'{version_path}/chunks/{order.index}'


def _error_kind(status: int) -> ErrorKind:
    for mapped_status, kind in _STATUS_KINDS:
        if status == mapped_status:
            return kind
    return ErrorKind.ORIGIN_UNAVAILABLE
