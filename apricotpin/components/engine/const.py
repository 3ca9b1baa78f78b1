"""Constants of the engine component."""

from typing import Final

STEP_READ: Final = 'read'
STEP_LOAD: Final = 'load'
STEP_ACTIVATE: Final = 'activate'

# Outcomes of orders; label values of the metric engine_orders_total.
ORDER_DONE: Final = 'done'
ORDER_REFUSED: Final = 'refused'
ORDER_FAILED: Final = 'failed'
ORDER_CONFIRMED: Final = 'confirmed'
ORDER_NOT_CONFIRMED: Final = 'not_confirmed'

# Interval at which the switch gate, the end of a back-off and the time of the
# next status read are checked.
TICK_S: Final = 0.1
# Interval between status reads. It bounds the time until the agent notices
# that the engine restarted or carried out a delayed order.
READ_PERIOD_S: Final = 1.0
# Interval between status reads while requests in progress end before a switch.
DRAIN_READ_PERIOD_S: Final = 0.2
READ_SILENCE_TIMEOUT_S: Final = 2.0
# The engine may verify and load a large version before it responds, so its
# limit is much longer than that of a status read.
ORDER_SILENCE_TIMEOUT_S: Final = 300.0
RETRY_BACKOFF_FIRST_S: Final = 0.5
RETRY_BACKOFF_MAX_S: Final = 10.0
# Number of consecutive failed reads after which the last report is discarded.
# More than one, so that a single lost response does not take the host out of
# service.
FAILED_READS_MAX: Final = 3
