"""Constants of the admin component."""

from typing import Final

STATUS_TIMEOUT_S: Final = 2.0
CONTENT_TYPE_JSON: Final = 'application/json'
CONTENT_TYPE_METRICS: Final = 'text/plain; version=0.0.4'
