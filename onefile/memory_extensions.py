"""Import extension modules from the archive by way of anonymous memory files.

The dynamic loader can only map a file. A memory file (memfd_create) is on no
disk and is not inherited by other programs, so nothing has to be unpacked.
"""

import os
import sys
import zipimport
from importlib import machinery

import _launcher

EXTENSIONS_PREFIX = 'extensions/'
LIBRARIES_PREFIX = 'libraries/'


class MemoryExtensionFinder:
    """Find extension modules in the archive of the program."""

    def __init__(self, archive):
        """Keep the zipimporter of the archive."""
        self._archive = archive

    def find_spec(self, fullname, path=None, target=None):
        """Return the spec of an extension module, or None if it has none."""
        try:
            content = self._archive.get_data(
                f'{EXTENSIONS_PREFIX}{fullname}.so',
            )
        except OSError:
            return None
        file_path = _memory_file(fullname, content)
        loader = machinery.ExtensionFileLoader(fullname, file_path)
        return machinery.ModuleSpec(
            fullname,
            loader,
            origin=file_path,
        )


def install():
    """Load the shared libraries of the archive, then install the finder."""
    archive = zipimport.zipimporter(sys.executable)
    names = archive.get_data(f'{LIBRARIES_PREFIX}index').decode().split()
    for name in names:
        content = archive.get_data(f'{LIBRARIES_PREFIX}{name}')
        _launcher.load_library(_memory_file(name, content))
    sys.meta_path.insert(0, MemoryExtensionFinder(archive))


def _memory_file(name, content):
    descriptor = os.memfd_create(name, os.MFD_CLOEXEC)
    with open(descriptor, 'wb', closefd=False) as memory_file:
        memory_file.write(content)
    return f'/proc/self/fd/{descriptor}'
