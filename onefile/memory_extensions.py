"""Import extension modules of the archive from anonymous memory files.

The dynamic loader needs a file to map. A memory file has no name on any disk
and is closed to other processes, so nothing is unpacked.
"""

import os
import sys
import zipimport
from importlib import machinery

import _launcher

EXTENSIONS_PREFIX = 'extensions/'
LIBRARIES_PREFIX = 'libraries/'


class MemoryExtensionFinder:
    """Find extension modules that the archive holds."""

    def __init__(self, archive):
        """Keep the archive."""
        self._archive = archive

    def find_spec(self, fullname, path=None, target=None):
        """Return the spec of an extension module, or None."""
        try:
            image = self._archive.get_data(f'{EXTENSIONS_PREFIX}{fullname}.so')
        except OSError:
            return None
        location = _memory_file(fullname, image)
        loader = machinery.ExtensionFileLoader(fullname, location)
        return machinery.ModuleSpec(
            fullname,
            loader,
            origin=location,
        )


def install():
    """Load the archive's shared libraries and install the finder."""
    archive = zipimport.zipimporter(sys.executable)
    names = archive.get_data(f'{LIBRARIES_PREFIX}index').decode().split()
    for name in names:
        image = archive.get_data(f'{LIBRARIES_PREFIX}{name}')
        _launcher.load_library(_memory_file(name, image))
    sys.meta_path.insert(0, MemoryExtensionFinder(archive))


def _memory_file(name, image):
    descriptor = os.memfd_create(name, os.MFD_CLOEXEC)
    with open(descriptor, 'wb', closefd=False) as memory_file:
        memory_file.write(image)
    return f'/proc/self/fd/{descriptor}'
