"""Steps for the weights and engine components of agents with real sockets."""

import gevent
from behave import given, then, when

from apricotpin.components import engine, weights
from apricotpin.core import Kernel
from script.cluster import send_json
from script.processes import wait_until
from script.standins.contents import manifest_of
from tests.weights_agents import (
    CHUNK_BYTES,
    ORIGIN,
    READY_TIMEOUT_S,
    SIZE_BYTES,
    AgentGroup,
    settings_of,
    weights_of,
)

ORIGIN_FAULTS = {
    'none': {},
    'one corrupt chunk': {'corrupt_chunks': 1},
    'busy at first': {'busy': True},
}
BUSY_S = 1
# Time before the check, in which a refused version must stay refused.
SETTLE_S = 1


@given('weights agents beside {count:d} engines that serve "{serves}"')
def start_standins(context, count, serves):
    """Start the stand-ins of the origin and the engines."""
    context.agents = AgentGroup(count, serves)
    context.cleanups = [context.agents.stop]


@given('weights origin has the fault {fault}')
def set_origin_fault(context, fault):
    """Set the fault of the origin."""
    context.fault = fault
    send_json('POST', f'http://{ORIGIN}/faults', ORIGIN_FAULTS[fault])


@when(
    'weights agents receive the targets {versions} with {memory:d} bytes of '
    'memory'
)
def order_versions(context, versions, memory):
    """Publish the target versions, the last of which stays the target."""
    context.agents.apply_versions(versions.split(), memory)
    if context.fault == 'busy at first':
        gevent.sleep(BUSY_S)
        send_json('POST', f'http://{ORIGIN}/faults', {'busy': False})


@then('weights engines end with "{version}" and its digest')
def check_engines(context, version):
    """Wait until every engine serves the version."""
    digest = manifest_of(weights_of(version))['digest']

    def all_serve():
        statuses = context.agents.statuses()
        return all(status['digest'] == digest for status in statuses)

    gevent.sleep(SETTLE_S)
    wait_until(all_serve, READY_TIMEOUT_S, f'all engines serve {version}')


@then(
    'weights origin has sent {copies:d} copies of v2 and one more chunk for '
    'each corrupt one'
)
def check_origin_copies(context, copies):
    """Compare how many bytes of v2 the origin sent."""
    counters = send_json('GET', f'http://{ORIGIN}/counters')
    sent = counters['bytes_by_version'].get('model/v2', 0)
    corrupt = _total(context, 'refusals_total{host="host-0",kind="chunk_c')
    assert sent == copies * SIZE_BYTES + corrupt * CHUNK_BYTES, sent


@then('weights agents count {expected} under "{metric}"')
def check_counter(context, expected, metric):
    """Add up a counter over all agents."""
    total = _total(context, metric)
    if expected == 'some':
        assert total > 0, total
    else:
        assert total == int(expected), total


def _total(context, metric):
    return sum(
        float(line.rpartition(' ')[2])
        for line in context.agents.metrics()
        if metric in line and not line.startswith('#')
    )


@given('weights settings of an agent with {url}')
def prepare_settings(context, url):
    """Build settings with or without an engine."""
    context.settings = settings_of(0, engine_url=url == 'an engine_url')


@when('weights and engine components are set up')
def set_up_components(context):
    """Set up both components in a kernel."""
    context.kernel = Kernel('test')
    context.cleanups = [context.kernel.stop]
    for component in (engine, weights):
        component.setup(context.kernel, context.settings).unwrap()


@then('weights services registered are "{services}"')
def check_services(context, services):
    """Compare the names of the registered services."""
    found = [
        name
        for name in ('engine', 'weights')
        if context.kernel.has_service(name)
    ]
    assert found == services.split(), found


@then('weights services registered are ""')
def check_no_services(context):
    """Check that neither service is registered."""
    check_services(context, '')
