"""Names of the platform: headers, paths, topics and words."""

from typing import Final

SETTINGS_VARIABLE: Final = 'APRICOTPIN_BOOT'

HEADER_REQUEST_ID: Final = 'X-Attempt-Id'
HEADER_DEADLINE: Final = 'X-Deadline-Ms'
HEADER_LAST_EVENT_ID: Final = 'Last-Event-Id'
HEADER_SEAL: Final = 'X-Server-Seal'
HEADER_WORKSPACE: Final = 'X-Tenant'
HEADER_EXPECT_INSTANCE: Final = 'X-Expect-Instance'
HEADER_INSTANCE: Final = 'X-Instance-Id'
HEADER_NOT_RUN: Final = 'X-Not-Executed'
HEADER_VERSION: Final = 'X-Weight-Versions'
HEADER_TOKENS: Final = 'X-Token-Count'
HEADER_PRIORITY: Final = 'X-Request-Priority'
HEADER_AUTHORIZATION: Final = 'Authorization'
HEADER_RETRY_AFTER: Final = 'Retry-After'
# Workers admit requests of this rank before those without one, which have 5.
PRIORITY_FIRST: Final = 0
AUTHORIZATION_SCHEME: Final = 'Token '

PATH_REPORT: Final = '/report'
PATH_ORDER: Final = '/order'
PATH_MANIFEST: Final = '/manifest/{model}?version={version}'
PATH_PIECE: Final = '/piece/{model}?chunk_count={index}&version={version}'
PATH_STAGE_PUT: Final = '/stage-put/{model}?chunk_count={index}'
PATH_STAGE_GET: Final = '/stage-get/{model}?chunk_count={index}'
PATH_LOG_NEWEST: Final = '/log-newest?topic={topic}&part=0'
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

# Roles in the deploy file, and the role of this program that each runs.
MACHINE_CLASS_ENTRY: Final = 'edge'
MACHINE_CLASS_AGENT: Final = 'side'
