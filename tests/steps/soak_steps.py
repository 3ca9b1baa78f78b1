"""Steps for seeded runs of a fleet with pauses, late calls and stops."""

import os
import subprocess
import sys

from behave import then, when

from script.platform_fleet import ROOT


@when(
    'a soak run with the profile {profile} and seed {seed:d} takes '
    '{duration:d} s'
)
def run_soak(context, profile, seed, duration):
    options = {
        'profile': profile,
        'seed': seed,
        'duration-s': duration,
        # Concurrent test runs use different addresses.
        'net': f'127.{121 + os.getpid() % 80}',
    }
    arguments = [f'--{name}={options[name]}' for name in options]
    finished = subprocess.run(
        [sys.executable, '-m', 'script.soak', *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60 + duration,
        check=False,
    )
    context.soak_output = finished.stdout + finished.stderr[-2000:]


@then("the soak run's verdict is ok")
def check_soak_verdict(context):
    assert 'verdict=ok' in context.soak_output, context.soak_output
