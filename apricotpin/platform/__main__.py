"""Entry point of a host's process on the platform."""

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402

from apricotpin.hosting import run_host  # noqa: E402
from apricotpin.platform.names import SETTINGS_VARIABLE  # noqa: E402
from apricotpin.platform.settings_file import read_settings  # noqa: E402


def main() -> int:
    """Run the role that the platform's settings file gives this host."""
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ''))
    return run_host(lambda: read_settings(path))


if __name__ == '__main__':
    sys.exit(main())
