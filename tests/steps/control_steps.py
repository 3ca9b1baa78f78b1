"""Steps for configuration and members in running processes."""

from behave import given, then, when

from tests.control_world import ControlWorld


@given('control plane with a log that retains records for {retention:d} s')
def control_plane_with_log(context, retention):
    """Start stand-ins of the log and the host list."""
    context.control = ControlWorld()
    context.cleanups = [context.control.group.stop]
    context.retention_s = retention
    context.control.start_standin('log', '--retention-s', str(retention))
    context.control.start_standin('host-list', '--lag-s', '0')


@given('control plane with entry host "{entry}" and agent "{agent}"')
def control_plane_with_processes(context, entry, agent):
    """Start an entry host and an agent."""
    start_entry(context, entry)
    start_agent(context, agent)


@given('control plane starts entry host "{host_id}"')
@when('control plane starts entry host "{host_id}"')
def start_entry(context, host_id):
    """Start an entry host; processes started before it are its seed peers."""
    world = context.control
    world.start_process(
        host_id,
        'entry',
        log_retention_s=context.retention_s,
        seed_peers=list(world.peers.values()),
    )
    world.wait(lambda: world.status(host_id), f'{host_id} responds')


@when('control plane starts agent "{host_id}"')
def start_agent(context, host_id):
    """Start an agent."""
    world = context.control
    world.start_process(host_id, 'agent')
    world.wait(lambda: world.status(host_id), f'{host_id} responds')


@when('members start agent "{host_id}" with the seed peer "{seed}"')
def start_agent_with_seed(context, host_id, seed):
    """Start an agent that knows one entry host, from its settings only."""
    world = context.control
    world.start_process(host_id, 'agent', seed_peers=[world.peers[seed]])


@when('configuration "{fleet}" is appended based on {based_on:d}')
def append_configuration(context, fleet, based_on):
    """Append a configuration to the log."""
    context.appended = context.control.append(fleet, based_on)


@then('configuration at offset {offset:d} is in force on "{names}"')
def configuration_in_force_on(context, offset, names):
    """Wait until a configuration is in force on processes."""
    world = context.control
    world.wait_all(
        names.split(','),
        lambda host_id: (
            world.field(host_id, 'configuration', 'in_force_offset') == offset
        ),
    )


@then('configuration of the last append is in force on "{names}"')
def last_configuration_in_force_on(context, names):
    """Wait until the last appended configuration is in force."""
    configuration_in_force_on(context, context.appended, names)


@when('control plane waits until the first record has expired')
def wait_until_expired(context):
    """Wait until only a checkpoint is left."""
    world = context.control
    world.wait(
        lambda: [record.offset for record in world.records()][:1] > [0],
        'only checkpoints are left',
    )


@when('configuration log has an outage')
def begin_log_outage(context):
    """Begin an outage of the log."""
    context.control.set_fault('log', {'outage': True})


@when('configuration log has no outage')
def end_log_outage(context):
    """End the outage of the log."""
    context.control.set_fault('log', {'outage': False})


@when('control plane pauses "{host_id}" and "{loser}" loses to "{winner}"')
def pause_and_publish_conflict(context, host_id, loser, winner):
    """Publish two conflicting configurations while a process is paused."""
    world = context.control
    process = world.group.processes[host_id]
    process.pause()
    based_on = context.appended
    context.appended = world.append(winner, based_on)
    world.append(f'{loser}-again', based_on)
    process.resume()


@then('control plane reports "{reason}" on "{host_id}"')
def reports_reason(context, reason, host_id):
    """Compare the reason why a process is not ready."""
    world = context.control
    address = world.peers[host_id]
    assert reason in world.readiness(address).reason


@then(
    'control plane reports no health problem of configuration on "{host_id}"',
)
def reports_no_reason(context, host_id):
    """Check that configuration is not a reason for a missing readiness."""
    world = context.control
    reason = world.readiness(world.peers[host_id]).reason
    assert 'configuration' not in reason, reason


@when('members host list has an outage')
def host_list_outage(context):
    """Begin an outage of the host list."""
    context.control.set_fault('host-list', {'outage': True})


@given('members of "{names}" have received reports of {count:d} hosts')
def have_received_reports(context, names, count):
    """Wait for reports; a host that is only listed is not monitored."""
    world = context.control
    world.wait_all(
        names.split(','),
        lambda host_id: world.field(host_id, 'members', 'heard') == count,
    )


@when('members agent "{host_id}" is ended by {signal}')
def signal_agent(context, host_id, signal):
    """Stop, kill or pause an agent."""
    process = context.control.group.processes[host_id]
    actions = {
        'stop': process.terminate,
        'kill': process.kill,
        'pause': process.pause,
    }
    actions[signal]()


@given('members of "{names}" have {count:d} hosts in state "{state}"')
@then('members of "{names}" have {count:d} hosts in state "{state}"')
def have_hosts_in_state(context, names, state, count):
    """Wait until processes have that many hosts in a state."""
    world = context.control
    world.wait_all(
        names.split(','),
        lambda host_id: (
            (world.field(host_id, 'members', 'hosts') or {}).get(state) == count
        ),
    )
