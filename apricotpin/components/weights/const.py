"""Constants of the weights component."""

from typing import Final

# Kinds of sources; also the label values of chunk_bytes_total.
SOURCE_ORIGIN: Final = 'origin'
SOURCE_PEER: Final = 'peer'
SOURCE_REGION: Final = 'region'
# Any host of the region, asked while the origin is paused.
SOURCE_PROBE: Final = 'probe'

# Statuses of a ChunkAnswer.
STATUS_OK: Final = 'ok'
STATUS_NOT_YET: Final = 'not_yet'
# Not yet, because the root of the stripe waits for the origin or a region.
STATUS_BLOCKED: Final = 'blocked'
STATUS_BUSY: Final = 'busy'
STATUS_UNKNOWN: Final = 'unknown_version'

# Index under which fetch_chunk returns the manifest as the origin sent it.
MANIFEST_INDEX: Final = -1

# Overdue waits and ended pauses are noticed within this time.
TICK_S: Final = 0.1
# A parent holds a request for at most this long. It is well below the
# dispatch timeout of peer_api, so the parent's own answer always comes first.
HOLD_MS: Final = 2000
# Pause after busy, unknown_version or a probe that found nothing.
PAUSE_FIRST_S: Final = 0.2
PAUSE_LONGEST_S: Final = 1.0
# A parent that waits for the origin or a region is replaced this many times
# later than one that does not say why it waits: a new root would only add
# load to the same origin or shared link.
BLOCKED_PATIENCE: Final = 8
# A failed source gets no requests for this time, doubled at each failure.
SUSPECT_FIRST_S: Final = 5.0
SUSPECT_LONGEST_S: Final = 60.0
# Pauses of one host towards an origin that is busy or down.
ORIGIN_FIRST_S: Final = 0.2
ORIGIN_LONGEST_S: Final = 10.0
# The origin may be rate-limited, so a chunk from it may come slowly; only a
# silence of this length counts as a failure.
ORIGIN_SILENT_S: Final = 5.0
# A child and stripe that asked within this time occupies an upload slot.
SLOT_LIFETIME_S: Final = 4.0
# Upload slots for each stripe: one for each regular child of the one interior
# position of a host, and as many again for children of failed hosts.
SLOTS_PER_STRIPE: Final = 2
# A lane that hears nothing asks again after this time.
LANE_TIMEOUT_S: Final = 30.0
MS_PER_S: Final = 1000
