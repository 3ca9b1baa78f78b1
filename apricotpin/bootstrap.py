"""Set up the components of a role in the order of their dependencies."""

import graphlib
import json
import types
from importlib import import_module, resources
from typing import Any, Final

import gevent
from gevent.event import Event
from loguru import logger
from result import Err, Ok, Result

from apricotpin import const
from apricotpin.core import Kernel, Started
from apricotpin.errors import ErrorKind, Failure
from apricotpin.helpers.logs import configure_logs
from apricotpin.host_settings import HostSettings
from apricotpin.settings import Settings

ROLE_COMPONENTS: Final = types.MappingProxyType(
    {
        const.ROLE_ENTRY: (
            const.SERVICE_METRICS,
            const.SERVICE_ADMIN,
            const.SERVICE_PEER_API,
            const.SERVICE_CONFIGURATION,
            const.SERVICE_MEMBERS,
            const.SERVICE_ROUTER,
            const.SERVICE_CLAIMS,
            const.SERVICE_FRONTEND,
        ),
        const.ROLE_AGENT: (
            const.SERVICE_METRICS,
            const.SERVICE_ADMIN,
            const.SERVICE_PEER_API,
            const.SERVICE_CONFIGURATION,
            const.SERVICE_MEMBERS,
            const.SERVICE_ENGINE,
            const.SERVICE_WEIGHTS,
        ),
        const.ROLE_HOST_ENTRY: (
            const.SERVICE_METRICS,
            const.SERVICE_ADMIN,
            const.SERVICE_PLATFORM,
            const.SERVICE_PEER_API,
            const.SERVICE_PRESENCE,
            const.COMPONENT_RELAY,
            const.SERVICE_ROUTES,
            const.SERVICE_DISPATCH,
            const.SERVICE_QUARANTINE,
            const.COMPONENT_FOLLOWER,
            const.SERVICE_GATEWAY,
        ),
        const.ROLE_HOST_AGENT: (
            const.SERVICE_METRICS,
            const.SERVICE_ADMIN,
            const.SERVICE_PLATFORM,
            const.SERVICE_PEER_API,
            const.SERVICE_PRESENCE,
            const.SERVICE_INSTALLER,
        ),
    }
)

AnySettings = Settings | HostSettings


def run(settings: Settings, stop_requested: Event) -> Result[None, Failure]:
    """Run a process until a stop is requested."""
    configure_logs(settings.log_level, settings.host_id)
    return run_until_stopped(settings, stop_requested)


def run_until_stopped(
    settings: AnySettings,
    stop_requested: Event,
) -> Result[None, Failure]:
    """Set up the role and run it; the caller has configured the logs."""
    kernel = Kernel(settings.host_id)
    prepared = set_up(kernel, settings)
    if prepared.is_err():
        kernel.stop()
        return prepared
    logger.bind(role=settings.role, site=settings.site).info('started')
    stop_requested.wait()
    logger.bind(grace_s=settings.grace_s).info('stopping')
    kernel.stop()
    logger.info('stopped')
    return Ok(None)


def set_up(kernel: Kernel, settings: AnySettings) -> Result[None, Failure]:
    """Set up all components of the role; the failure names the component."""
    for name in setup_order(ROLE_COMPONENTS[settings.role]):
        outcome = _set_up_component(name, kernel, settings)
        if outcome.is_err():
            failure = outcome.err_value
            detail = f'component={name} {failure.detail}'
            return Err(Failure(failure.kind, detail))
        gevent.sleep(0)
    kernel.publish(Started())
    return Ok(None)


def setup_order(names: tuple[str, ...]) -> list[str]:
    """Return component names with dependencies before their dependants."""
    graph = {
        name: [
            dependency
            for dependency in read_manifest(name)['dependencies']
            if dependency in names
        ]
        for name in names
    }
    return list(graphlib.TopologicalSorter(graph).static_order())


def read_manifest(name: str) -> dict[str, Any]:
    """Return the manifest of a component."""
    component = resources.files(_package_of(name))
    return json.loads(component.joinpath('manifest.json').read_text())


def _set_up_component(
    name: str,
    kernel: Kernel,
    settings: AnySettings,
) -> Result[None, Failure]:
    try:
        component = import_module(_package_of(name))
    except ImportError as error:
        return Err(Failure(ErrorKind.INTERNAL, repr(error)))
    return component.setup(kernel, settings)


def _package_of(name: str) -> str:
    # The platform adapter is a package of its own beside the components.
    if name == const.SERVICE_PLATFORM:
        return 'apricotpin.platform'
    return f'apricotpin.components.{name}'
