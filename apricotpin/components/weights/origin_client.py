"""Reads from the origin and its mirrors over HTTP."""

from http import HTTPStatus
from typing import Final

from geventhttpclient.httplib import HTTPConnection
from geventhttpclient.url import URL
from result import Err, Ok, Result

from apricotpin.components.weights import const
from apricotpin.errors import ErrorKind, Failure
from apricotpin.messages.transfers import FetchOrder

_KINDS: Final = (
    (HTTPStatus.TOO_MANY_REQUESTS, ErrorKind.ORIGIN_BUSY),
    (HTTPStatus.NOT_FOUND, ErrorKind.VERSION_UNKNOWN),
)


class OriginClient:
    """Own one connection to the origin; a failure moves on to the next URL."""

    __slots__ = ('_connection', '_source_ip', '_turn', '_urls')

    def __init__(self, urls: list[str], source_ip: str) -> None:
        self._urls = urls
        self._source_ip = source_ip
        self._turn = 0
        self._connection: HTTPConnection | None = None

    def fetch(self, order: FetchOrder) -> Result[bytes, Failure]:
        """Read a chunk or the manifest; silence ends it after timeout_s."""
        if not self._urls:
            detail = 'no origin_urls in the settings'
            return Err(Failure(ErrorKind.ORIGIN_UNAVAILABLE, detail))
        url = URL(self._urls[self._turn % len(self._urls)])
        fetched = self._exchange(url, _path_of(order), order.timeout_s)
        if fetched.is_err():
            self.close()
            self._turn += 1
        return fetched

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _exchange(
        self,
        url: URL,
        path: str,
        timeout_s: float,
    ) -> Result[bytes, Failure]:
        try:
            return self._read(url, path, timeout_s)
        except Exception as error:
            # geventhttpclient raises several unrelated exception types.
            detail = f'GET {path} at {url.host}:{url.port}: {error!r}'
            return Err(Failure(ErrorKind.ORIGIN_UNAVAILABLE, detail))
        except BaseException:
            # A greenlet killed in mid-read must not leave a half-read answer.
            self.close()
            raise

    def _read(
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
            detail = f'the origin answered {response.status} for {path}'
            return Err(Failure(_kind_of(response.status), detail))
        declared = response.getheader('content-length')
        if declared is not None and int(declared) != len(body):
            detail = f'{len(body)} of {declared} bytes arrived for {path}'
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


def _path_of(order: FetchOrder) -> str:
    version_path = f'/weights/{order.model}/{order.version}'
    if order.index == const.MANIFEST_INDEX:
        return f'{version_path}/manifest'
    return f'{version_path}/chunks/{order.index}'


def _kind_of(status: int) -> ErrorKind:
    for known, kind in _KINDS:
        if status == known:
            return kind
    return ErrorKind.ORIGIN_UNAVAILABLE
