"""Pieces of weights from other apricotpin processes."""

from typing import Final

from result import Err, Ok, Result

from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.peer_client import PeerClient
from apricotpin.messages.weights import FetchChunk

STATUS_OK: Final = 'ok'


def fetch_piece(
    client: PeerClient,
    address: str,
    wanted: FetchChunk,
    timeout_s: float,
) -> Result[bytes, Failure]:
    """Return a piece that a process holds, or chunk_not_yet."""
    asked = client.call(address, 'fetch_chunk', wanted, timeout_s)
    if asked.is_err():
        return asked
    if asked.ok_value.status != STATUS_OK:
        return Err(Failure(ErrorKind.CHUNK_NOT_YET, asked.ok_value.status))
    return Ok(asked.ok_value.data)
