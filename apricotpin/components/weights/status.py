"""Byte totals and the status for other processes and the status page."""

from apricotpin.components.weights import const
from apricotpin.components.weights.transfer import Transfer
from apricotpin.messages.weights import WeightsStatus


class TransferTotals:
    """Count the bytes received and sent since the start of this process."""

    __slots__ = (
        'bytes_from_origin',
        'bytes_from_peers',
        'bytes_sent',
        'confirmed_version',
        'host_id',
    )

    def __init__(self, host_id: str) -> None:
        self.host_id = host_id
        self.confirmed_version = ''
        self.bytes_from_origin = 0
        self.bytes_from_peers = 0
        self.bytes_sent = 0

    def add_received(self, kind: str, size_bytes: int) -> None:
        """Add verified bytes under the kind of their source."""
        if kind == const.SOURCE_ORIGIN:
            self.bytes_from_origin += size_bytes
        else:
            self.bytes_from_peers += size_bytes


def build_status(
    totals: TransferTotals, target: Transfer | None
) -> WeightsStatus:
    """Return the status that peers and operators read."""
    return WeightsStatus(
        host_id=totals.host_id,
        model=target.target.name if target else '',
        target_version=target.target.version if target else '',
        confirmed_version=totals.confirmed_version,
        chunks_held=target.held_count if target else 0,
        chunks_total=len(target.chunks) if target else 0,
        bytes_from_origin=totals.bytes_from_origin,
        bytes_from_peers=totals.bytes_from_peers,
        bytes_sent=totals.bytes_sent,
    )
