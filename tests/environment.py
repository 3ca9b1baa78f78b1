"""Hooks of the behave run."""

from gevent import monkey

monkey.patch_all()


def after_scenario(context, _scenario):
    """Run the cleanup functions of a scenario, newest first."""
    for cleanup in reversed(getattr(context, 'cleanups', [])):
        cleanup()
