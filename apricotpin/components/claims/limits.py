"""Limits of the claims service from the configuration."""

from collections.abc import Mapping

from apricotpin.components.claims.const import (
    HOLDER_MARGIN_S,
    OWNER_DEADLINE_RATIO,
    REQUESTER_DEADLINE_RATIO,
    SERVICE_TIMEOUT_DEFAULT_S,
)
from apricotpin.components.claims.keys import partition_of
from apricotpin.components.claims.state import PartitionLimits
from apricotpin.messages.document import Document


class ClaimLimits:
    """Describe the configured limits of claims and the service timeouts."""

    __slots__ = (
        'claim_timeout_s',
        'partition_count',
        'partition_limits',
        'service_timeouts_s',
    )

    def __init__(
        self,
        partition_count: int,
        claim_timeout_s: float,
        partition_limits: PartitionLimits,
        service_timeouts_s: Mapping[str, float],
    ) -> None:
        self.partition_count = partition_count
        self.claim_timeout_s = claim_timeout_s
        self.partition_limits = partition_limits
        self.service_timeouts_s = service_timeouts_s

    @classmethod
    def from_config(
        cls,
        document: Document,
        partition_count: int | None = None,
    ) -> 'ClaimLimits':
        """Read the limits; a partition_count overrides the configured one.

        The number of partitions must not change in a running process: a key
        would move to a stream that does not contain its claim, and its action
        could run a second time.
        """
        claims = document.claims
        return cls(
            partition_count or claims.claim_partitions,
            claims.claim_timeout_s,
            PartitionLimits(claims.key_lifetime_s),
            {
                name: service.timeout_s
                for name, service in document.services.items()
            },
        )

    @property
    def owner_deadline_s(self) -> float:
        """Return the time within which an owner replies to a peer."""
        return self.claim_timeout_s * OWNER_DEADLINE_RATIO

    @property
    def requester_deadline_s(self) -> float:
        """Return the time within which a local request gets a reply."""
        return self.claim_timeout_s * REQUESTER_DEADLINE_RATIO

    def holder_timeout_s(self, service_name: str) -> float:
        """Return the age after which a claim without an outcome is unknown."""
        timeout_s = self.service_timeouts_s.get(
            service_name,
            SERVICE_TIMEOUT_DEFAULT_S,
        )
        return timeout_s + HOLDER_MARGIN_S

    def stream_of(self, name: str) -> str:
        """Return the name of the stream that contains the claim of a key."""
        return f'claims-{partition_of(name, self.partition_count)}'
