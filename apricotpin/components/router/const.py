"""Constants of the router component."""

from typing import Final

# More than two messages for each connection that the frontend accepts, so
# that a burst of requests can't fill the mailbox.
ROUTER_MAILBOX_SIZE: Final = 16384

# Limits of an upstream's back-off, which grows with each failure in a row.
# The first back-off is short, since a service may have a single host that only
# lost a connection.
BACKOFF_FIRST_S: Final = 0.25
BACKOFF_MAX_S: Final = 10.0

# Initial and largest retry budget: an idle entry host may make this many
# retries before admitted requests add to its budget.
RETRY_BUDGET_MAX: Final = 10.0

# Priority of workspaces that are not in the configuration.
DEFAULT_PRIORITY: Final = 5

# Time that other requests wait for the one request that probes an upstream
# after its back-off.
PROBE_WAIT_S: Final = 0.05
