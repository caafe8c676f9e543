"""Selects the modules, extension modules and libraries of the single-file program."""

import importlib.util
import marshal
import re
import subprocess
import zipfile
from pathlib import Path

from PyInstaller.archive.readers import CArchiveReader

__all__ = ["Payload", "dependency_order", "module_name", "needed_libraries"]

STDLIB_EXTENSION_PREFIX = "python3.11/lib-dynload/"
BASE_LIBRARY = "base_library.zip"
PACKAGE_TYPE = 1
NAMESPACE_TYPE = 3
# Flags of a hash-based pyc file that is not validated against its source (PEP 552).
PYC_FLAGS_UNCHECKED = (1).to_bytes(4, "little")
NO_SOURCE_HASH = bytes(8)
# The program uses only the request signer of botocore, not its service descriptions.
UNUSED_DATA = ("botocore/data/", "setuptools/")
# Modules that PyInstaller stores elsewhere, because its bootloader needs them.
BOOTLOADER_MODULES = ("struct",)
_NEEDED = re.compile(r"^\s+NEEDED\s+(\S+)$", re.MULTILINE)


class Payload:
    """Files that PyInstaller collected, by kind.

    Parameters
    ----------
    folder : Path
        Directory that PyInstaller wrote, with the program and ``_internal``.
    program : str
        File name of the program.
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
                self._add_file(path, str(path.relative_to(self.internal)))

    def write_archive(self, path, boot, strip):
        """Write the zip archive of all modules and data.

        Parameters
        ----------
        path : Path
            File to write.
        boot : Path
            Source of the main module.
        strip : callable
            Called with the path and the module name of a shared object; returns the
            path of a copy without debugging symbols.
        """
        with zipfile.ZipFile(path, "w", zipfile.ZIP_STORED) as archive:
            code = compile(boot.read_text(), "<boot>", "exec")
            archive.writestr("__main__.pyc", _encode_pyc(code))
            members = {name: f"ext/{name}.so" for name in self.extensions}
            index = compile(f"EXTENSIONS = {members!r}\n", "<index>", "exec")
            archive.writestr("_binary_index.pyc", _encode_pyc(index))
            for name, member in members.items():
                archive.write(strip(self.extensions[name], name), member)
            self._write_modules(archive)
            for name, data_path in self.data.items():
                archive.write(data_path, name)

    def _add_file(self, path, name):
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
        for name in BOOTLOADER_MODULES:
            code = importlib.util.find_spec(name).loader.get_code(name)
            archive.writestr(f"{name}.pyc", _encode_pyc(code))
        written = set(archive.namelist())
        for name, (type_, *_) in self.archive.toc.items():
            path = name.replace(".", "/")
            if type_ == NAMESPACE_TYPE:
                # zipimport needs an entry for the directory of a namespace package.
                archive.writestr(f"{path}/", b"")
                continue
            member = f"{path}/__init__.pyc" if type_ == PACKAGE_TYPE else f"{path}.pyc"
            if member not in written:
                archive.writestr(member, _encode_pyc(self.archive.extract(name)))


def module_name(name):
    """Return the module name for the path of a shared object below ``_internal``."""
    name = name.removeprefix(STDLIB_EXTENSION_PREFIX)
    folder, _, file = name.rpartition("/")
    module = file.partition(".")[0]
    return f"{folder.replace('/', '.')}.{module}" if folder else module


def needed_libraries(path):
    """Return the names of the libraries that a shared object is linked against."""
    command = ["objdump", "-p", str(path)]
    return _NEEDED.findall(subprocess.check_output(command, text=True))


def dependency_order(needed):
    """Return the names of libraries in topological order, dependencies first.

    Parameters
    ----------
    needed : dict of str to iterable of str
        Dependencies by library. Those that are not keys are system libraries.

    Raises
    ------
    ValueError
        If libraries depend on each other in a circle.
    """
    ordered = []

    def visit(name, dependents):
        if name in dependents:
            raise ValueError(
                f"circular dependency of libraries: {', '.join(dependents)}"
            )
        for dependency in needed[name]:
            if dependency in needed and dependency not in ordered:
                visit(dependency, (*dependents, name))
        if name not in ordered:
            ordered.append(name)

    for name in sorted(needed):
        visit(name, ())
    return ordered


def _encode_pyc(code):
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
