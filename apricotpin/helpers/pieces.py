"""Fetch pieces of weights from other apricotpin processes."""

from typing import Final

from result import Err, Ok, Result

from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.peer_client import PeerClient
from apricotpin.messages.weights import FetchChunk

STATUS_OK: Final = 'ok'


def fetch_piece(
    client: PeerClient,
    address: str,
    request: FetchChunk,
    timeout_s: float,
) -> Result[bytes, Failure]:
    """Return a piece that a process holds, or the failure chunk_not_yet."""
    fetched = client.call(address, 'fetch_chunk', request, timeout_s)
    if fetched.is_err():
        return fetched
    if fetched.ok_value.status != STATUS_OK:
        return Err(Failure(ErrorKind.CHUNK_NOT_YET, fetched.ok_value.status))
    return Ok(fetched.ok_value.data)
