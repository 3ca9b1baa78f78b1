"""Names and limits shared by several components."""

from typing import Final

PROGRAM: Final = 'apricotpin'
VERSION: Final = '0.1.0'

# Roles of a process.
ROLE_ENTRY: Final = 'entry'
ROLE_AGENT: Final = 'agent'
# Roles on a platform that provides a settings file for each host.
ROLE_HOST_ENTRY: Final = 'host_entry'
ROLE_HOST_AGENT: Final = 'host_agent'

# Names under which services register with the kernel.
SERVICE_METRICS: Final = 'metrics'
SERVICE_ADMIN: Final = 'admin'
SERVICE_PEER_API: Final = 'peer_api'
SERVICE_CONFIGURATION: Final = 'configuration'
SERVICE_MEMBERS: Final = 'members'
SERVICE_WEIGHTS: Final = 'weights'
SERVICE_ENGINE: Final = 'engine'
SERVICE_FRONTEND: Final = 'frontend'
SERVICE_ROUTER: Final = 'router'
SERVICE_CLAIMS: Final = 'claims'
SERVICE_PLATFORM: Final = 'platform'
SERVICE_STORE: Final = 'store'
SERVICE_CALL_CODEC: Final = 'call_codec'
SERVICE_ORIGIN: Final = 'origin'
# A read of the platform's store is sent again on another connection if its
# response has not begun within the first time after it was due, and fails after
# the second one. The store responds within a few ms, or a few hundred ms when
# it is slow.
STORE_OVERDUE_S: Final = 0.5
STORE_TIMEOUT_S: Final = 1.5
# Component that reads the platform's store; it registers under the name of
# the configuration service.
COMPONENT_FOLLOWER: Final = 'follower'
SERVICE_ROUTES: Final = 'routes'
SERVICE_DISPATCH: Final = 'dispatch'
SERVICE_GATEWAY: Final = 'gateway'
SERVICE_QUARANTINE: Final = 'quarantine'
SERVICE_PRESENCE: Final = 'presence'
# Component that forwards weights from origins to workers; it registers under
# the name of the weights service.
COMPONENT_RELAY: Final = 'relay'
SERVICE_INSTALLER: Final = 'installer'

# States of a host, as reported in heartbeats and the host list.
HOST_LIVE: Final = 'live'
HOST_SWITCHING: Final = 'switching'
HOST_SUSPECTED: Final = 'suspected'
HOST_LEAVING: Final = 'leaving'
HOST_STATES: Final = (
    HOST_LIVE,
    HOST_SWITCHING,
    HOST_SUSPECTED,
    HOST_LEAVING,
)

# Kinds of a service in the configuration document.
KIND_MODEL: Final = 'model'
KIND_PLAIN: Final = 'plain'

# Messages that a mailbox holds before further ones are refused.
MAILBOX_SIZE: Final = 1024
# Default time to wait for the reply to a call.
CALL_TIMEOUT_S: Final = 5.0
