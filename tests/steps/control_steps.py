"""Steps for running processes with configuration and members."""

from behave import given, then, when

from tests.control_world import ControlWorld


@given('configuration world with a log that keeps records for {retention:d} s')
def world_with_log(context, retention):
    """Start the stand-ins."""
    context.control = ControlWorld()
    context.cleanups = [context.control.group.stop]
    context.retention_s = retention
    context.control.start_standin('log', '--retention-s', str(retention))
    context.control.start_standin('host-list', '--lag-s', '0')


@given('configuration world with entry host "{entry}" and agent "{agent}"')
def world_with_processes(context, entry, agent):
    """Start two processes."""
    start_entry(context, entry)
    start_agent(context, agent)


@given('configuration world starts entry host "{host_id}"')
@when('configuration world starts entry host "{host_id}"')
def start_entry(context, host_id):
    """Start an entry host that knows the ones before it as seeds."""
    world = context.control
    world.start_process(
        host_id,
        'entry',
        log_retention_s=context.retention_s,
        seed_peers=list(world.peers.values()),
    )
    world.wait(lambda: world.status(host_id), f'{host_id} answers')


@when('configuration world starts agent "{host_id}"')
def start_agent(context, host_id):
    """Start an agent."""
    world = context.control
    world.start_process(host_id, 'agent')
    world.wait(lambda: world.status(host_id), f'{host_id} answers')


@when('members start agent "{host_id}" with the seed peer "{seed}"')
def start_agent_with_seed(context, host_id, seed):
    """Start an agent that can reach one entry host only by its settings."""
    world = context.control
    world.start_process(host_id, 'agent', seed_peers=[world.peers[seed]])


@when('configuration "{fleet}" is appended based on {based_on:d}')
def append_configuration(context, fleet, based_on):
    """Append a configuration."""
    context.appended = context.control.append(fleet, based_on)


@then('configuration at offset {offset:d} is in force on "{names}"')
def in_force_on(context, offset, names):
    """Wait until processes have a configuration in force."""
    world = context.control
    world.wait_all(
        names.split(','),
        lambda host_id: (
            world.field(host_id, 'configuration', 'in_force_offset') == offset
        ),
    )


@then('configuration of the last append is in force on "{names}"')
def last_in_force_on(context, names):
    """Wait until the last append is in force."""
    in_force_on(context, context.appended, names)


@when('configuration world waits until the first record has expired')
def wait_until_expired(context):
    """Wait until only a checkpoint is left."""
    world = context.control
    world.wait(
        lambda: [record.offset for record in world.records()][:1] > [0],
        'only checkpoints are left',
    )


@when('configuration log has an outage')
def log_outage(context):
    """Begin an outage."""
    context.control.set_fault('log', {'outage': True})


@when('configuration log has no outage')
def log_back(context):
    """End an outage."""
    context.control.set_fault('log', {'outage': False})


@when(
    'configuration world pauses "{host_id}" and "{loser}" loses to "{winner}"'
)
def pause_and_race(context, host_id, loser, winner):
    """Let two operators race while a process is paused."""
    world = context.control
    process = world.group.processes[host_id]
    process.pause()
    based_on = context.appended
    context.appended = world.append(winner, based_on)
    world.append(f'{loser}-again', based_on)
    process.resume()


@then('configuration world reports "{reason}" on "{host_id}"')
def reports_reason(context, reason, host_id):
    """Compare the health page."""
    world = context.control
    address = world.peers[host_id]
    assert reason in world.readiness(address).reason


@then(
    'configuration world reports no health problem of configuration on '
    '"{host_id}"',
)
def reports_nothing(context, host_id):
    """Compare the health page."""
    world = context.control
    reason = world.readiness(world.peers[host_id]).reason
    assert 'configuration' not in reason, reason


@when('members host list has an outage')
def list_outage(context):
    """Begin an outage of the host list."""
    context.control.set_fault('host-list', {'outage': True})


@given('members of "{names}" have heard of {count:d} hosts')
def have_heard(context, names, count):
    """Wait until heartbeats arrived; a host only listed is not watched."""
    world = context.control
    world.wait_all(
        names.split(','),
        lambda host_id: world.field(host_id, 'members', 'heard') == count,
    )


@when('members agent "{host_id}" is ended by {signal}')
def end_agent(context, host_id, signal):
    """End an agent."""
    process = context.control.group.processes[host_id]
    actions = {
        'stop': process.terminate,
        'kill': process.kill,
        'pause': process.pause,
    }
    actions[signal]()


@given('members of "{names}" take "{state}" for {count:d} hosts')
@then('members of "{names}" take "{state}" for {count:d} hosts')
def take_for(context, names, state, count):
    """Wait until processes take hosts for a state."""
    world = context.control
    world.wait_all(
        names.split(','),
        lambda host_id: (
            (world.field(host_id, 'members', 'hosts') or {}).get(state) == count
        ),
    )
