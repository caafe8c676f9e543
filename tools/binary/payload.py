"""What goes into the single file: modules, extension modules and libraries."""

import importlib.util
import marshal
import re
import subprocess
import zipfile
from pathlib import Path

from PyInstaller.archive.readers import CArchiveReader

__all__ = ["Payload", "dependency_order", "module_name", "needed_libraries"]

FOLDER_OF_STDLIB_EXTENSIONS = "python3.11/lib-dynload/"
BASE_LIBRARY = "base_library.zip"
PACKAGE_TYPE = 1
NAMESPACE_TYPE = 3
# Flags of a pyc file that is never compared with its source.
PYC_FLAGS_UNCHECKED = (1).to_bytes(4, "little")
NO_SOURCE_HASH = bytes(8)
# The service descriptions of botocore are not used: only its request signer is.
UNUSED_DATA = ("botocore/data/", "setuptools/")
# PyInstaller keeps these apart from the others, for its own start code.
MODULES_OF_START_CODE = ("struct",)
_NEEDED = re.compile(r"^\s+NEEDED\s+(\S+)$", re.MULTILINE)


class Payload:
    """Content of a folder that PyInstaller collected.

    Parameters
    ----------
    folder : Path
        The folder, which holds a program and ``_internal``.
    program : str
        Name of the program.
    """

    def __init__(self, folder, program):
        self.internal = folder / "_internal"
        self.archive = CArchiveReader(str(folder / program)).open_embedded_archive(
            "PYZ.pyz"
        )
        self.extensions = {}
        self.libraries = {}
        self.data = {}
        for path in sorted(self.internal.rglob("*")):
            if path.is_file():
                self._sort(path, str(path.relative_to(self.internal)))

    def write_archive(self, path, boot, strip):
        """Write the zip archive of all modules and data.

        ``strip(path, name)`` returns a copy of a shared object without debugging
        symbols.
        """
        with zipfile.ZipFile(path, "w", zipfile.ZIP_STORED) as archive:
            code = compile(boot.read_text(), "<boot>", "exec")
            archive.writestr("__main__.pyc", _pyc(code))
            members = {name: f"ext/{name}.so" for name in self.extensions}
            index = compile(f"EXTENSIONS = {members!r}\n", "<index>", "exec")
            archive.writestr("_binary_index.pyc", _pyc(index))
            for name, member in members.items():
                archive.write(strip(self.extensions[name], name), member)
            self._write_modules(archive)
            for name, data_path in self.data.items():
                archive.write(data_path, name)

    def _sort(self, path, name):
        if name == BASE_LIBRARY or name.startswith(UNUSED_DATA):
            return
        if not re.search(r"\.so(\.[0-9.]+)?$", name):
            self.data[name] = path
        elif "/" in name:
            self.extensions[module_name(name)] = path
        else:
            self.libraries[name] = path

    def _write_modules(self, archive):
        with zipfile.ZipFile(self.internal / BASE_LIBRARY) as base:
            for name in base.namelist():
                archive.writestr(name, base.read(name))
        for name in MODULES_OF_START_CODE:
            code = importlib.util.find_spec(name).loader.get_code(name)
            archive.writestr(f"{name}.pyc", _pyc(code))
        written = set(archive.namelist())
        for name, (type_, *_) in self.archive.toc.items():
            path = name.replace(".", "/")
            if type_ == NAMESPACE_TYPE:
                # zipimport takes a folder for a package only if it has an entry.
                archive.writestr(f"{path}/", b"")
                continue
            member = f"{path}/__init__.pyc" if type_ == PACKAGE_TYPE else f"{path}.pyc"
            if member not in written:
                archive.writestr(member, _pyc(self.archive.extract(name)))


def module_name(name):
    """Return the module of a shared object's path in PyInstaller's folder."""
    name = name.removeprefix(FOLDER_OF_STDLIB_EXTENSIONS)
    folder, _, file = name.rpartition("/")
    module = file.partition(".")[0]
    return f"{folder.replace('/', '.')}.{module}" if folder else module


def needed_libraries(path):
    """Return the names of the libraries that a shared object needs."""
    command = ["objdump", "-p", str(path)]
    return _NEEDED.findall(subprocess.check_output(command, text=True))


def dependency_order(needed):
    """Return library names so that each follows those it needs.

    Parameters
    ----------
    needed : dict of str to iterable of str
        Needed libraries by library. Those that are not keys come from the system.
    """
    ordered = []

    def add(name, above):
        if name in above:
            raise ValueError(f"libraries need each other: {', '.join(above)}")
        for other in needed[name]:
            if other in needed and other not in ordered:
                add(other, (*above, name))
        if name not in ordered:
            ordered.append(name)

    for name in sorted(needed):
        add(name, ())
    return ordered


def _pyc(code):
    header = importlib.util.MAGIC_NUMBER + PYC_FLAGS_UNCHECKED + NO_SOURCE_HASH
    return header + marshal.dumps(code)


def package_modules(root, package):
    """Return the names of all modules of a package, without tests and benchmarks."""
    names = []
    for path in sorted((Path(root) / package).rglob("*.py")):
        parts = path.relative_to(root).with_suffix("").parts
        if {"tests", "bench"} & set(parts):
            continue
        names.append(".".join(parts).removesuffix(".__init__"))
    return names
