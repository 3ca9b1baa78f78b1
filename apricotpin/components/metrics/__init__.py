"""Metrics of this process, defined in one table."""

from result import Ok, Result

from apricotpin.components.metrics.service import MetricsService
from apricotpin.const import SERVICE_METRICS
from apricotpin.core import Kernel
from apricotpin.errors import Failure
from apricotpin.messages.metrics import Count, Observe, RenderMetrics, SetGauge
from apricotpin.settings import Settings


def setup(kernel: Kernel, settings: Settings) -> Result[None, Failure]:
    """Register the metrics service."""
    service = MetricsService.from_settings(settings)
    kernel.register(
        SERVICE_METRICS,
        {
            Count: service.count,
            SetGauge: service.set_gauge,
            Observe: service.observe,
            RenderMetrics: service.render,
        },
    )
    return Ok(None)
