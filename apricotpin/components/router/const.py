"""Constants of the router component."""

from typing import Final

# More than two messages for each connection that the frontend accepts, so
# that a burst of callers can't fill the mailbox.
ROUTER_MAILBOX_SIZE: Final = 16384

# Pauses of a suspected upstream grow between these bounds. The first is
# short, since a service may have a single host that only lost a connection.
SUSPICION_FIRST_S: Final = 0.25
SUSPICION_LONGEST_S: Final = 10.0

# Retries that an idle entry host may spend before it earned any.
RETRY_BUDGET_RESERVE: Final = 10.0

# Priority of workspaces that the configuration does not name.
DEFAULT_PRIORITY: Final = 5

# Time given to the one request that probes an upstream after its pause.
PROBE_WAIT_S: Final = 0.05
