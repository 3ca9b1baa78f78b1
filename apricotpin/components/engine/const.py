"""Constants of the engine component."""

from typing import Final

STEP_READ: Final = 'read'
STEP_LOAD: Final = 'load'
STEP_ACTIVATE: Final = 'activate'

# Outcomes of orders, the label values of engine_orders_total.
ORDER_DONE: Final = 'done'
ORDER_REFUSED: Final = 'refused'
ORDER_FAILED: Final = 'failed'
ORDER_CONFIRMED: Final = 'confirmed'
ORDER_NOT_CONFIRMED: Final = 'not_confirmed'

# The gate, pauses and reads that are due are looked at this often.
TICK_S: Final = 0.1
# An engine that restarts or obeys a late order is noticed within this time.
READ_PERIOD_S: Final = 1.0
# While requests in progress end before a switch.
DRAIN_READ_PERIOD_S: Final = 0.2
READ_SILENT_S: Final = 2.0
# An engine may check and place a large version before it answers.
ORDER_SILENT_S: Final = 300.0
RETRY_FIRST_S: Final = 0.5
RETRY_LONGEST_S: Final = 10.0
# A single lost answer does not take a host out of service.
FAILED_READS_MAX: Final = 3
