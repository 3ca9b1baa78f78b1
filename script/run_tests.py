"""Run behave without the scenarios of KNOWN-RED.txt and count the outcomes."""

import json
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
KNOWN_RED_TAG = 'known_red'
FAILED_STATUSES = ('failed', 'error')
# Lines at the end of an error that name it.
ERROR_LINES = 3


def run_behave(arguments, report_path):
    """Run behave and return its exit code."""
    command = [
        sys.executable,
        '-m',
        'behave',
        '--no-capture',
        '--format=progress',
        '--outfile=/dev/stdout',
        '--format=json',
        f'--outfile={report_path}',
        f'--tags=not @{KNOWN_RED_TAG}',
        *arguments,
    ]
    return subprocess.run(command, cwd=ROOT, check=False).returncode


def read_scenarios(report_path):
    """Return the scenarios of behave's report."""
    features = json.loads(pathlib.Path(report_path).read_text())
    return [
        element
        for feature in features
        for element in feature.get('elements', [])
        if element['type'] == 'scenario'
    ]


def error_lines(outcome):
    """Return the lines of a step's error; behave gives a text or a list."""
    message = outcome.get('error_message', '')
    if isinstance(message, list):
        return message
    return [line.strip() for line in message.splitlines() if line.strip()]


def describe_failures(scenarios):
    """Return a line for each failed step, with the end of its error.

    The progress format names the scenario only, and a row that fails once in
    many runs leaves nothing else to trace it by.
    """
    return [
        'failed: {0}: {1}: {2}'.format(
            scenario['location'],
            step['name'],
            ' '.join(error_lines(step['result'])[-ERROR_LINES:]),
        )
        for scenario in scenarios
        for step in scenario.get('steps', [])
        if step.get('result', {}).get('status') in FAILED_STATUSES
    ]


def count_scenarios(scenarios):
    """Return the numbers of scenarios that passed and that failed."""
    outcomes = [scenario['status'] for scenario in scenarios]
    passed = outcomes.count('passed')
    skipped = outcomes.count('skipped') + outcomes.count('untested')
    return passed, len(outcomes) - passed - skipped


def tagged_scenarios():
    """Return the names of the scenarios with the known-red tag."""
    names = []
    for path in sorted(ROOT.glob('tests/**/*.feature')):
        lines = [line.strip() for line in path.read_text().splitlines()]
        names.extend(
            following.partition(':')[2].strip()
            for line, following in zip(lines, lines[1:])
            if f'@{KNOWN_RED_TAG}' in line.split()
        )
    return names


def check_known_red():
    """Print the known-red scenarios; return those without an entry."""
    listed = KNOWN_RED.read_text() if KNOWN_RED.exists() else ''
    names = tagged_scenarios()
    for scenario in names:
        print(f'known red, not run: {scenario}')
    return [name for name in names if name not in listed]


def main():
    """Run all feature files, or those named on the command line."""
    with tempfile.NamedTemporaryFile(suffix='.json') as report:
        exit_code = run_behave(sys.argv[1:], report.name)
        scenarios = read_scenarios(report.name)
    passed, failed = count_scenarios(scenarios)
    for line in describe_failures(scenarios):
        print(line)
    unlisted = check_known_red()
    for scenario in unlisted:
        print(f'tagged known red, but missing from KNOWN-RED.txt: {scenario}')
    print(f'{passed} passed, {failed + len(unlisted)} failed')
    if exit_code or failed or unlisted or not passed:
        sys.exit(1)


if __name__ == '__main__':
    main()
