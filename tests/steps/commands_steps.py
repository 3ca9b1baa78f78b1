"""Steps for the operator commands."""

import json
import shlex
import subprocess
import sys

from behave import given, then, when
from typer.testing import CliRunner

from apricotpin.cli import app
from apricotpin.components.configuration.decisions import (
    FoldState,
    fold_record,
)
from tests.control_world import ControlWorld, document


def _world(context):
    if not hasattr(context, 'control'):
        context.control = ControlWorld()
        context.cleanups = [context.control.group.stop]
    return context.control


def _run(context, arguments):
    world = _world(context)
    names = {
        'BASE': str(world.directory / 'base.json'),
        'OVERLAY': str(world.directory / 'overlay.json'),
        'MISSING': str(world.directory / 'missing.json'),
        'LOG': world.urls.get('log', ''),
    }
    for name, found in names.items():
        arguments = arguments.replace(name, found)
    outcome = CliRunner().invoke(app, shlex.split(arguments))
    printed = outcome.output
    for name, found in names.items():
        printed = printed.replace(found, name) if found else printed
    return outcome.exit_code, ' '.join(printed.split())


@given('commands with a base file and an overlay, changed by {change}')
def commands_files(context, change):
    """Write the files of a configuration with one change."""
    base = document('base')
    overlay = {'fleet': 'genkai'}
    if change == 'a wrong base value':
        base['limits'] = {'in_flight_max': 0}
    if change == 'a wrong overlay value':
        base['limits'] = {'in_flight_max': 1}
        overlay['limits'] = {'in_flight_max': 'many'}
    if change == 'an unknown model':
        base['models'] = {}
    if change == 'an unknown field':
        base['surprise'] = 1
    directory = _world(context).directory
    (directory / 'base.json').write_text(json.dumps(base))
    (directory / 'overlay.json').write_text(json.dumps(overlay))
    if change == 'a missing base':
        (directory / 'base.json').unlink()
    if change == 'text in the overlay':
        (directory / 'overlay.json').write_text('{"fleet": ')


@given('commands with a log stand-in')
def commands_log(context):
    """Start a stand-in of the log."""
    _world(context).start_standin('log')


@given('commands ran "{arguments}"')
def commands_ran(context, arguments):
    """Run a command that succeeds."""
    code, printed = _run(context, arguments)
    assert code == 0, printed


@given('commands set the fault {fault} of the log')
def commands_fault(context, fault):
    """Set a fault of the log."""
    if fault != 'none':
        _world(context).set_fault('log', json.loads(f'{{{fault}}}'))


@when('commands run "{arguments}"')
def commands_run(context, arguments):
    """Run a command and keep its exit code and output."""
    context.outcome = _run(context, arguments)


@then('commands exit with {code:d} and print {output}')
def commands_exit(context, code, output):
    """Compare the exit code and the output."""
    found, printed = context.outcome
    assert found == code, (found, printed)
    assert output in printed, printed
    assert 'Traceback' not in printed, printed


@then(
    'commands find {records:d} records, of which {accepted:d} are accepted',
)
def commands_find(context, records, accepted):
    """Fold the stream and count its records."""
    world = _world(context)
    world.set_fault('log', {'outage': False})
    state = FoldState()
    verdicts = []
    for record in world.records():
        step = fold_record(state, record)
        state = step.state
        verdicts.append(step.verdict)
    assert len(verdicts) == records, verdicts
    assert verdicts.count('accepted') == accepted, verdicts


@when('commands publish from {count:d} operators at once')
def commands_publish(context, count):
    """Publish with the same view of the configuration."""
    world = _world(context)
    command = [sys.executable, '-m', 'apricotpin', 'config', 'publish']
    command += ['--base', str(world.directory / 'base.json')]
    command += ['--log-url', world.urls['log'], '--based-on', '-1', '--author']
    operators = [
        subprocess.Popen(
            [*command, f'operator-{number}'],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        for number in range(count)
    ]
    context.operators = [
        (operator.communicate(timeout=60)[0], operator.returncode)
        for operator in operators
    ]


@then('commands report exactly one accepted configuration')
def commands_one_accepted(context):
    """Compare the output of the commands with the log."""
    codes = sorted(code for _, code in context.operators)
    assert codes == [0, 1, 1, 1], context.operators
    winner = _world(context).records()[0].value['author']
    refused = [printed for printed, code in context.operators if code]
    assert all(f'winner="{winner}"' in printed for printed in refused), refused
