"""Names on the platform's wire: headers, paths, topics and values.

The constants are named after the product's terms. A comment stands where the
name on the wire suggests something else.
"""

from typing import Final

SETTINGS_VARIABLE: Final = 'APRICOTPIN_BOOT'

# Identifies the caller's request; all its attempts carry the same id.
HEADER_REQUEST_ID: Final = 'X-Attempt-Id'
HEADER_DEADLINE: Final = 'X-Deadline-Ms'
HEADER_LAST_EVENT_ID: Final = 'Last-Event-Id'
HEADER_SEAL: Final = 'X-Server-Seal'
# The platform calls a workspace a tenant.
HEADER_WORKSPACE: Final = 'X-Tenant'
HEADER_EXPECT_INSTANCE: Final = 'X-Expect-Instance'
HEADER_INSTANCE: Final = 'X-Instance-Id'
HEADER_NOT_RUN: Final = 'X-Not-Executed'
# Holds the one version of the responding worker.
HEADER_VERSION: Final = 'X-Weight-Versions'
HEADER_TOKENS: Final = 'X-Token-Count'
# Lists the parts of the prompt in order, the request's own last.
HEADER_PROMPT: Final = 'X-Prompt-Prefix'
HEADER_PRIORITY: Final = 'X-Request-Priority'
HEADER_AUTHORIZATION: Final = 'Authorization'
HEADER_RETRY_AFTER: Final = 'Retry-After'
HEADER_LEAVING: Final = 'Server-Leaving'
LEAVING: Final = '1'
# Workers admit requests of this priority before those without the header,
# which have priority 5.
PRIORITY_FIRST: Final = 0
AUTHORIZATION_SCHEME: Final = 'Token '

PATH_REPORT: Final = '/report'
PATH_ORDER: Final = '/order'
PATH_MANIFEST: Final = '/manifest/{model}?version={version}'
# In this path and the next two chunk_count is the index of a piece, not a
# number of pieces.
PATH_PIECE: Final = '/piece/{model}?chunk_count={index}&version={version}'
PATH_STAGE_PUT: Final = '/stage-put/{model}?chunk_count={index}'
PATH_STAGE_GET: Final = '/stage-get/{model}?chunk_count={index}'
PATH_LOG_NEWEST: Final = '/log-newest?topic={topic}&part=0'
# source is the offset to read from.
PATH_LOG_READ: Final = (
    '/log-read?topic={topic}&part=0&source={offset}&wait_ms={wait_ms}'
)
PATH_LOG_APPEND: Final = '/log-append?topic={topic}&part=0'

TOPIC_OPERATOR: Final = 'keyed.op'
TOPIC_SERVERS: Final = 'keyed.servers'
TOPIC_HOSTS: Final = 'keyed.apricotpin-hosts'
KEY_CONFIG: Final = 'config'
KEY_VERSION_PREFIX: Final = 'version/'

STATE_READY: Final = 'ready'
STATE_DRAINING: Final = 'draining'
OPERATION_START: Final = 'start'
MODE_QUEUE: Final = 'queue'
MODE_TRUNCATE: Final = 'truncate'

# Values of machine_class in the settings file: edge hosts run the role of an
# entry host, side hosts that of an agent.
MACHINE_CLASS_ENTRY: Final = 'edge'
MACHINE_CLASS_AGENT: Final = 'side'
