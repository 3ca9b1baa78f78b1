"""Constants of the weights component."""

from typing import Final

# Kinds of sources; label values of the metric chunk_bytes_total.
SOURCE_ORIGIN: Final = 'origin'
SOURCE_PEER: Final = 'peer'
SOURCE_REGION: Final = 'region'
# Any host of the same region; during a back-off from the origin these hosts
# are tried in turn.
SOURCE_PROBE: Final = 'probe'

# Values of ChunkAnswer.status.
STATUS_OK: Final = 'ok'
STATUS_NOT_YET: Final = 'not_yet'
# Like not_yet, where the reason is that the root of the stripe waits for the
# origin or for a host of another region.
STATUS_BLOCKED: Final = 'blocked'
STATUS_BUSY: Final = 'busy'
STATUS_UNKNOWN: Final = 'unknown_version'

# Index in fetch_chunk that stands for the manifest, in the bytes that the
# origin sent.
MANIFEST_INDEX: Final = -1

# Interval at which overdue requests and the ends of back-offs are checked.
TICK_S: Final = 0.1
# Limit for a parent to hold a request for a chunk that it does not have yet.
# It is well below the dispatch timeout of peer_api, so the parent always
# replies before that timeout.
HOLD_MAX_MS: Final = 2000
# Back-off of a stripe after busy, unknown_version or a probe without result.
RETRY_BACKOFF_FIRST_S: Final = 0.2
RETRY_BACKOFF_MAX_S: Final = 1.0
# A parent that waits for the origin or for another region is replaced after a
# time this many times longer than usual: another root would only add load to
# the same origin or shared link.
BLOCKED_STALL_FACTOR: Final = 8
# Time for which a failed host gets no requests, doubled at each failure up to
# the maximum.
SUSPICION_FIRST_S: Final = 5.0
SUSPICION_MAX_S: Final = 60.0
# Back-off of one host from an origin that is busy or unreachable.
ORIGIN_BACKOFF_FIRST_S: Final = 0.2
ORIGIN_BACKOFF_MAX_S: Final = 10.0
# The origin may be rate-limited, so a chunk from it may arrive slowly. A read
# fails only if no byte arrives for this time.
ORIGIN_SILENCE_TIMEOUT_S: Final = 5.0
# A child occupies its upload slot of a stripe until this time has passed since
# its last request.
UPLOAD_SLOT_LIFETIME_S: Final = 4.0
# Upload slots of a host for each stripe: one for each regular child of the one
# interior position that a host has, and as many again for children of failed
# hosts.
UPLOAD_SLOTS_PER_STRIPE: Final = 2
# A fetcher without a reply requests its next fetch again after this time.
FETCHER_CALL_TIMEOUT_S: Final = 30.0
MS_PER_S: Final = 1000
