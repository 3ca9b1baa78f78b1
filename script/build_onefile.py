"""Build dist/apricotpin, one executable file of a launcher and a zip archive.

The launcher is linked statically with the Python interpreter and dynamically
with the C library. The archive holds all modules and is not compressed,
because zlib, which would decompress it, is an extension module in the archive
itself.
"""

import os
import pathlib
import py_compile
import subprocess
import sys
import sysconfig
import tempfile
import zipfile
from importlib import metadata

from packaging.requirements import Requirement
from packaging.utils import canonicalize_name

ROOT = pathlib.Path(__file__).parent.parent
ONEFILE = ROOT / 'onefile'
TARGET = ROOT / 'dist/apricotpin'
EXTENSION_SUFFIX = '.so'

STDLIB = pathlib.Path(sysconfig.get_path('stdlib'))

# Folders inside installed distributions that the program does not import.
DISTRIBUTION_FOLDERS_EXCLUDED = frozenset(('tests', 'testing', '__pycache__'))

# Entries of the standard library that the program does not import. Extension
# modules in lib-dynload are added under their own names.
STDLIB_EXCLUDED = frozenset(
    (
        'test',
        'idlelib',
        'tkinter',
        'turtledemo',
        'lib2to3',
        'ensurepip',
        'site-packages',
        'pydoc_data',
        'distutils',
        'lib-dynload',
    )
)
# typer uses rich and its dependencies only for boxes in the help, and works
# without them. pip and setuptools are needed only to install.
DISTRIBUTIONS_EXCLUDED = frozenset(
    (
        'rich',
        'pygments',
        'markdown-it-py',
        'mdurl',
        'pip',
        'setuptools',
    )
)
# Shared system libraries that go into the archive, each after the libraries
# that it needs. Extension modules of the standard library that need other
# system libraries are left out; the program works without them.
SYSTEM_LIBRARIES = ('libcrypto', 'libssl', 'libz', 'libffi')
EXTENSIONS_EXCLUDED = frozenset(
    (
        '_tkinter',
        '_dbm',
        '_gdbm',
        '_curses',
        '_curses_panel',
        'readline',
        '_sqlite3',
        'nis',
        '_lzma',
        '_bz2',
        '_uuid',
        '_crypt',
    )
)


NO_EXCLUSIONS = frozenset()


class Archive:
    """Write modules, data files and shared libraries into a zip file."""

    __slots__ = ('_compiled_path', '_libraries', '_names', '_zip_file')

    def __init__(self, zip_file, temporary_directory):
        self._zip_file = zip_file
        self._compiled_path = pathlib.Path(temporary_directory) / 'module.pyc'
        self._libraries = set()
        self._names = set()

    def add_tree(self, source, base, excluded=NO_EXCLUSIONS):
        """Add a file, or all files of a folder, by paths relative to base."""
        paths = [source] if source.is_file() else sorted(source.rglob('*'))
        for path in paths:
            relative = path.relative_to(base)
            if path.is_file() and not excluded.intersection(relative.parts):
                self.add_file(path, relative)

    def add_file(self, path, relative):
        """Add a source file compiled, an extension module, or a data file."""
        if path.suffix == '.py':
            self._add_module(path, relative)
        elif path.name.endswith(EXTENSION_SUFFIX):
            self.add_extension(path, relative)
        elif path.suffix not in {'.pyc', '.c', '.pyx', '.h', '.pxd', '.pyi'}:
            self._write(str(relative), path.read_bytes())

    def add_extension(self, path, relative):
        """Add an extension module by its dotted name, with its libraries."""
        name = path.name.split('.')[0]
        dotted = '.'.join([*relative.parts[:-1], name])
        self._write(f'extensions/{dotted}.so', path.read_bytes())
        self._libraries.update(_needed_libraries(path))

    def add_libraries(self):
        """Add the system libraries of extension modules, and their index."""
        ordered = sorted(self._libraries, key=_load_order)
        for path in ordered:
            self._write(f'libraries/{path.name}', path.read_bytes())
        index = '\n'.join(library.name for library in ordered)
        self._write('libraries/index', index.encode())

    def _add_module(self, path, relative):
        py_compile.compile(
            str(path),
            cfile=str(self._compiled_path),
            dfile=str(relative),
            doraise=True,
            invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
        )
        self._write(f'{relative}c', self._compiled_path.read_bytes())

    def _write(self, name, content):
        if name in self._names:
            return
        self._names.add(name)
        # zipimport finds namespace packages by the entries of their folders.
        for parent in reversed(pathlib.PurePath(name).parents[:-1]):
            self._write(f'{parent}/', b'')
        self._zip_file.writestr(name, content)


def _needed_libraries(path):
    listing = subprocess.run(
        ['ldd', str(path)],
        check=True,
        capture_output=True,
        text=True,
    )
    for line in listing.stdout.splitlines():
        name, arrow, location = line.strip().partition(' => ')
        if arrow and name.startswith(SYSTEM_LIBRARIES):
            yield pathlib.Path(location.split(' (')[0])


def _load_order(path):
    # A library has to be loaded after the libraries that it needs.
    stem = path.name.split('.')[0]
    return SYSTEM_LIBRARIES.index(stem)


def build_launcher(target):
    """Compile the launcher and link it with the static Python library."""
    library = pathlib.Path(sysconfig.get_config_var('LIBPL'))
    command = [
        'gcc',
        '-O2',
        '-Wall',
        f'-I{sysconfig.get_path("include")}',
        str(ONEFILE / 'launcher.c'),
        str(library / sysconfig.get_config_var('LIBRARY')),
        '-Wl,--export-dynamic',
        '-ldl',
        '-lm',
        '-lpthread',
        '-lutil',
        '-o',
        str(target),
    ]
    subprocess.run(command, check=True)
    subprocess.run(['strip', '--strip-unneeded', str(target)], check=True)


def build_archive(target):
    """Write all modules and the libraries that they need into an archive."""
    with (
        tempfile.TemporaryDirectory() as temporary_directory,
        zipfile.ZipFile(target, 'w', zipfile.ZIP_STORED) as zip_file,
    ):
        archive = Archive(zip_file, temporary_directory)
        for source in sorted(STDLIB.iterdir()):
            if source.name not in STDLIB_EXCLUDED and (
                source.is_dir() or source.suffix == '.py'
            ):
                _add_stdlib(archive, source)
        for path in sorted((STDLIB / 'lib-dynload').glob('*.so')):
            name = path.name.split('.')[0]
            if name not in EXTENSIONS_EXCLUDED and 'test' not in name:
                archive.add_extension(path, pathlib.PurePath(path.name))
        for distribution in _distributions():
            _add_distribution(archive, distribution)
        archive.add_tree(ROOT / 'apricotpin', ROOT)
        archive.add_tree(ONEFILE / 'memory_extensions.py', ONEFILE)
        archive.add_libraries()


def _add_stdlib(archive, source):
    excluded = STDLIB_EXCLUDED.union({'__pycache__', 'tests'})
    if source.name.startswith('config-'):
        return
    archive.add_tree(source, STDLIB, excluded)


def _distributions():
    """Return the distributions of requirements.txt and their dependencies."""
    lines = (ROOT / 'requirements.txt').read_text().splitlines()
    pending = [line.partition('==')[0] for line in lines if line]
    found = {}
    while pending:
        name = canonicalize_name(pending.pop())
        if name in found or name in DISTRIBUTIONS_EXCLUDED:
            continue
        found[name] = metadata.distribution(name)
        for text in found[name].requires or ():
            requirement = Requirement(text)
            marker = requirement.marker
            if marker is None or marker.evaluate({'extra': ''}):
                pending.append(requirement.name)
    return [found[name] for name in sorted(found)]


def _add_distribution(archive, distribution):
    for relative in distribution.files:
        path = pathlib.Path(distribution.locate_file(relative))
        excluded = DISTRIBUTION_FOLDERS_EXCLUDED.intersection(relative.parts)
        if relative.parts[0] == '..' or excluded or not path.is_file():
            continue
        archive.add_file(path, pathlib.PurePath(*relative.parts))


def main():
    """Build dist/apricotpin."""
    TARGET.parent.mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory() as temporary_directory:
        launcher = pathlib.Path(temporary_directory) / 'launcher'
        archive = pathlib.Path(temporary_directory) / 'archive.zip'
        build_launcher(launcher)
        build_archive(archive)
        TARGET.write_bytes(launcher.read_bytes() + archive.read_bytes())
    os.chmod(TARGET, 0o755)
    print(f'file={TARGET} size_bytes={TARGET.stat().st_size}')


if __name__ == '__main__':
    sys.exit(main())
