"""Build the one-file program: launcher, then an archive of all modules.

The launcher is linked with the interpreter's static library and with the C
library as usual. The archive is stored, not compressed, because the module
that would decompress it is in the archive itself.
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

# Folders of libraries that the program never imports.
DISTRIBUTION_EXCLUDED = frozenset(('tests', 'testing', '__pycache__'))

# Parts of the standard library that the program never imports.
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
# typer draws boxes with these where it finds them; plain help needs neither.
EXCLUDED_DISTRIBUTIONS = frozenset(
    (
        'rich',
        'pygments',
        'markdown-it-py',
        'mdurl',
        'pip',
        'setuptools',
    )
)
# Extension modules of the standard library that need a library of the system.
SYSTEM_LIBRARIES = ('libcrypto', 'libssl', 'libz', 'libffi')
SKIPPED_EXTENSIONS = frozenset(
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


NOTHING = frozenset()


class Archive:
    """Write modules, data and extensions into the archive."""

    __slots__ = ('_libraries', '_names', '_scratch', '_zip_file')

    def __init__(self, zip_file, scratch):
        self._zip_file = zip_file
        self._scratch = pathlib.Path(scratch) / 'module.pyc'
        self._libraries = set()
        self._names = set()

    def add_tree(self, top, base, excluded=NOTHING):
        """Add a package or module below a base folder."""
        paths = [top] if top.is_file() else sorted(top.rglob('*'))
        for path in paths:
            relative = path.relative_to(base)
            if path.is_file() and not excluded.intersection(relative.parts):
                self.add_file(path, relative)

    def add_file(self, path, relative):
        """Add one file under the form in which it is imported or read."""
        if path.suffix == '.py':
            self._add_module(path, relative)
        elif path.name.endswith(EXTENSION_SUFFIX):
            self.add_extension(path, relative)
        elif path.suffix not in {'.pyc', '.c', '.pyx', '.h', '.pxd', '.pyi'}:
            self._write(str(relative), path.read_bytes())

    def add_extension(self, path, relative):
        """Add an extension module under its dotted name."""
        name = path.name.split('.')[0]
        dotted = '.'.join([*relative.parts[:-1], name])
        self._write(f'extensions/{dotted}.so', path.read_bytes())
        self._libraries.update(_needed_libraries(path))

    def add_libraries(self):
        """Add the system's libraries that the extension modules need."""
        ordered = sorted(self._libraries, key=_load_rank)
        for path in ordered:
            self._write(f'libraries/{path.name}', path.read_bytes())
        index = '\n'.join(library.name for library in ordered)
        self._write('libraries/index', index.encode())

    def _add_module(self, path, relative):
        py_compile.compile(
            str(path),
            cfile=str(self._scratch),
            dfile=str(relative),
            doraise=True,
            invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
        )
        self._write(f'{relative}c', self._scratch.read_bytes())

    def _write(self, name, content):
        if name in self._names:
            return
        self._names.add(name)
        # The importer finds namespace packages by their folder entries.
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
        name, arrow, rest = line.strip().partition(' => ')
        if arrow and name.startswith(SYSTEM_LIBRARIES):
            yield pathlib.Path(rest.split(' (')[0])


def _load_rank(path):
    # A library is loaded after those that it needs.
    stem = path.name.split('.')[0]
    return SYSTEM_LIBRARIES.index(stem)


def build_launcher(target):
    """Compile the launcher against the static library of the interpreter."""
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
    """Write the archive of all modules."""
    with (
        tempfile.TemporaryDirectory() as scratch,
        zipfile.ZipFile(target, 'w', zipfile.ZIP_STORED) as zip_file,
    ):
        archive = Archive(zip_file, scratch)
        for top in sorted(STDLIB.iterdir()):
            if top.name not in STDLIB_EXCLUDED and (
                top.is_dir() or top.suffix == '.py'
            ):
                _add_stdlib(archive, top)
        for path in sorted((STDLIB / 'lib-dynload').glob('*.so')):
            name = path.name.split('.')[0]
            if name not in SKIPPED_EXTENSIONS and 'test' not in name:
                archive.add_extension(path, pathlib.PurePath(path.name))
        for distribution in _distributions():
            _add_distribution(archive, distribution)
        archive.add_tree(ROOT / 'apricotpin', ROOT)
        archive.add_tree(ONEFILE / 'memory_extensions.py', ONEFILE)
        archive.add_libraries()


def _add_stdlib(archive, top):
    excluded = STDLIB_EXCLUDED.union({'__pycache__', 'tests'})
    if top.name.startswith('config-'):
        return
    archive.add_tree(top, STDLIB, excluded)


def _distributions():
    """Return the distributions that requirements.txt needs at run time."""
    lines = (ROOT / 'requirements.txt').read_text().splitlines()
    pending = [line.partition('==')[0] for line in lines if line]
    found = {}
    while pending:
        name = canonicalize_name(pending.pop())
        if name in found or name in EXCLUDED_DISTRIBUTIONS:
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
        excluded = DISTRIBUTION_EXCLUDED.intersection(relative.parts)
        if relative.parts[0] == '..' or excluded or not path.is_file():
            continue
        archive.add_file(path, pathlib.PurePath(*relative.parts))


def main():
    """Build dist/apricotpin."""
    TARGET.parent.mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory() as scratch:
        launcher = pathlib.Path(scratch) / 'launcher'
        archive = pathlib.Path(scratch) / 'archive.zip'
        build_launcher(launcher)
        build_archive(archive)
        TARGET.write_bytes(launcher.read_bytes() + archive.read_bytes())
    os.chmod(TARGET, 0o755)
    print(f'file={TARGET} size_bytes={TARGET.stat().st_size}')


if __name__ == '__main__':
    sys.exit(main())
