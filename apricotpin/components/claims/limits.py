"""Limits of claims as the configuration in force states them."""

from collections.abc import Mapping

from apricotpin.components.claims.const import (
    HOLDER_MARGIN_S,
    OWNER_DEADLINE_RATIO,
    REQUESTER_DEADLINE_RATIO,
    SERVICE_TIMEOUT_DEFAULT_S,
)
from apricotpin.components.claims.keys import partition_of
from apricotpin.components.claims.state import Rules
from apricotpin.messages.document import Document


class Limits:
    """Hold the limits and the timeouts of services."""

    __slots__ = ('claim_timeout_s', 'partitions', 'rules', 'timeouts_s')

    def __init__(
        self,
        partitions: int,
        claim_timeout_s: float,
        rules: Rules,
        timeouts_s: Mapping[str, float],
    ) -> None:
        self.partitions = partitions
        self.claim_timeout_s = claim_timeout_s
        self.rules = rules
        self.timeouts_s = timeouts_s

    @classmethod
    def from_config(
        cls,
        document: Document,
        partitions: int | None = None,
    ) -> 'Limits':
        """Read the limits; a number of partitions in use stays in force.

        With another number a key would move to a stream that does not hold
        its claim, and its action could run again.
        """
        claims = document.claims
        return cls(
            partitions or claims.claim_partitions,
            claims.claim_timeout_s,
            Rules(claims.key_lifetime_s),
            {
                name: service.timeout_s
                for name, service in document.services.items()
            },
        )

    @property
    def owner_deadline_s(self) -> float:
        """Return how long an owner may take to answer a peer."""
        return self.claim_timeout_s * OWNER_DEADLINE_RATIO

    @property
    def requester_deadline_s(self) -> float:
        """Return how long a local request may take."""
        return self.claim_timeout_s * REQUESTER_DEADLINE_RATIO

    def holder_bound_s(self, service_name: str) -> float:
        """Return the age at which a claim without outcome is unknown."""
        timeout_s = self.timeouts_s.get(
            service_name,
            SERVICE_TIMEOUT_DEFAULT_S,
        )
        return timeout_s + HOLDER_MARGIN_S

    def stream_of(self, name: str) -> str:
        """Return the stream that holds the claim of a key."""
        return f'claims-{partition_of(name, self.partitions)}'
