"""Steps for the processes and plans of a test cluster."""

import os
import pathlib
import tempfile

import psutil
from behave import given, then, when

from apricotpin.settings import Settings
from script import topology as plans
from script.cluster import STANDINS
from script.processes import ProcessGroup, responds_ok, wait_until

READY_TIMEOUT_S = 20
PORT = 20050


class InjectedError(Exception):
    """Represent an error within the with block of a process group."""


@given('cluster process that serves a host list')
def start_process(context):
    """Start one process in a process group."""
    directory = tempfile.TemporaryDirectory()
    pid = os.getpid() % 65024
    listen = f'127.29.{pid // 254}.{pid % 254 + 1}:{PORT}'
    context.group = ProcessGroup(pathlib.Path(directory.name))
    context.cleanups = [directory.cleanup, context.group.stop]
    context.process = context.group.start(
        'host-list',
        [STANDINS, 'host-list', f'--listen={listen}'],
    )
    context.url = f'http://{listen}/hosts'
    wait_until(
        lambda: responds_ok(context.url), READY_TIMEOUT_S, 'host list responds'
    )
    context.first_pid = context.process.pid


@when('cluster process is {action}')
def act_on_process(context, action):
    """Kill, pause, resume or restart the process as tests of faults do."""
    process = context.process
    if action == 'killed':
        process.kill()
    if action in {'paused', 'resumed'}:
        process.pause()
    if action == 'resumed':
        assert not responds_ok(context.url)
        process.resume()
    if action == 'restarted':
        process.restart()
        assert process.pid != context.first_pid


@then('cluster process {state} and none is left after {end}')
def check_process(context, state, end):
    """Check the state of the process, and its end with the group's block."""
    assert context.process.is_running() == (state != 'has ended')
    if state == 'responds':
        wait_until(
            lambda: responds_ok(context.url),
            READY_TIMEOUT_S,
            'host list responds',
        )
    else:
        assert not responds_ok(context.url)
    _exit_group(context.group, end)
    for pid in (context.first_pid, context.process.pid):
        assert not psutil.pid_exists(pid), pid


def _exit_group(group, end):
    try:
        with group:
            if end == 'an error':
                raise InjectedError
    except InjectedError:
        return


@given('cluster plan of {plan}')
def make_plan(context, plan):
    """Make the topology of a site, or of N agents in R regions."""
    if plan in plans.SITES:
        context.plan = plans.site_topology(plan)
        return
    agents, regions = plan.split(' in ')
    context.plan = plans.bench_topology(int(agents), int(regions))


@then(
    'cluster plan has {entries:d} entry hosts, {replicas:d} replicas and '
    '{regions:d} regions'
)
def check_counts(context, entries, replicas, regions):
    """Compare the numbers of hosts and regions."""
    plan = context.plan
    found = (len(plan.entries), len(plan.replicas), len(plan.regions))
    assert found == (entries, replicas, regions), found


@then('cluster plan has valid settings and no address twice')
def check_plan(context):
    """Check that the product accepts the settings and addresses are unique."""
    plan = context.plan
    for host in plan.hosts:
        settings = Settings.from_config(plans.settings_of(plan, host))
        assert settings.is_ok(), settings.err_value
    ports = plans.link_plan_of(plan)['ports']
    listening = [port['listen'] for port in ports]
    listening += [port['target'] for port in ports if 'sender' not in port]
    assert len(listening) == len(set(listening))
    assert len({host.host_id for host in plan.hosts}) == len(plan.hosts)
