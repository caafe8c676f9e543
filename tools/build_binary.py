"""Builds ``build/goldcresthoist``, the whole program as a single file for Linux.

PyInstaller collects the modules and libraries. A small launcher in C replaces its
bootloader, which would start a child process and unpack files to a directory;
docs/binary.md gives the reasons. The build needs gcc and binutils.
"""

import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path

from binary.payload import (
    Payload,
    dependency_order,
    needed_libraries,
    package_modules,
)

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ROOT / "tools" / "binary"
BUILD = ROOT / "build"
WORK = BUILD / "binary"
PROGRAM = "goldcresthoist"
PYTHON_LIBRARY = "libpython3.11.so.1.0"
# Modules that the hooks of PyInstaller add, but that the program never imports.
EXCLUDED = (
    "_distutils_hack",
    "_posixshmem",
    "awscrt",
    "curses",
    "distutils",
    "hypothesis",
    "multiprocessing.shared_memory",
    "pip",
    "pydoc",
    "readline",
    "setuptools",
    "tkinter",
)
REQUIRED_TOOLS = ("gcc", "objdump", "strip")


def main():
    """Build the program, check that it runs, and return the exit status."""
    missing = [tool for tool in REQUIRED_TOOLS if shutil.which(tool) is None]
    if missing:
        print(f"make binary needs {', '.join(missing)}", file=sys.stderr)
        return 1
    shutil.rmtree(WORK, ignore_errors=True)
    WORK.mkdir(parents=True)
    payload = Payload(collect(), PROGRAM)
    launcher = compile_launcher(payload.libraries)
    archive = WORK / "modules.zip"
    payload.write_archive(archive, SOURCES / "boot.py", strip)
    program = BUILD / PROGRAM
    program.unlink(missing_ok=True)
    program.write_bytes(launcher.read_bytes() + archive.read_bytes())
    program.chmod(0o755)
    check(program)
    print(f"{program.relative_to(ROOT)}: {program.stat().st_size / 2**20:.1f} MiB")
    return 0


def collect():
    """Collect the program with PyInstaller, and return the path of its directory."""
    command = [sys.executable, "-m", "PyInstaller", "--onedir", "--noconfirm"]
    command += ["--name", PROGRAM, "--log-level", "WARN", "--paths", str(ROOT)]
    command += ["--distpath", str(WORK / "dist"), "--workpath", str(WORK / "work")]
    command += ["--specpath", str(WORK)]
    for name in (*package_modules(ROOT, PROGRAM), "uvloop"):
        command += ["--hidden-import", name]
    for name in EXCLUDED:
        command += ["--exclude-module", name]
    command.append(str(ROOT / PROGRAM / "__main__.py"))
    subprocess.run(command, check=True)
    return WORK / "dist" / PROGRAM


def compile_launcher(libraries):
    """Compile the launcher, which contains all libraries, and return its path."""
    stripped = {name: strip(path, name) for name, path in libraries.items()}
    needed = {name: needed_libraries(path) for name, path in stripped.items()}
    # The launcher looks up the functions of Python in the last library of the table.
    names = [name for name in dependency_order(needed) if name != PYTHON_LIBRARY]
    assembly = WORK / "libraries.s"
    assembly.write_text(library_table([*names, PYTHON_LIBRARY], stripped))
    launcher = WORK / "launcher"
    include = sysconfig.get_path("include")
    command = ["gcc", "-O2", "-Wall", "-Werror", f"-I{include}", "-o", str(launcher)]
    command += [str(SOURCES / "launcher.c"), str(assembly), "-ldl"]
    subprocess.run(command, check=True)
    subprocess.run(["strip", str(launcher)], check=True)
    return launcher


def strip(path, name):
    """Copy a shared object without its debugging symbols; return the path."""
    copy = WORK / name
    subprocess.run(["strip", "--strip-debug", "-o", str(copy), str(path)], check=True)
    return copy


def library_table(names, paths):
    """Return assembly code that defines ``libraries[]`` of launcher.c.

    It includes the contents of the library files.
    """
    lines = ['.section .note.GNU-stack,"",@progbits', ".section .rodata"]
    table = ['.section .data.rel.ro,"aw"', ".balign 8", ".globl libraries"]
    table.append("libraries:")
    for index, name in enumerate(names):
        lines += [".balign 16", f"start{index}:", f'.incbin "{paths[name]}"']
        lines += [f"end{index}:", f'name{index}: .string "{name}"']
        table.append(f".quad name{index}, start{index}, end{index}")
    table.append(".quad 0, 0, 0")
    return "\n".join([*lines, *table]) + "\n"


def check(program):
    """Run commands that import most modules of the program."""
    questionnaire = ROOT / "examples" / "archive.yaml"
    for arguments in (["--version"], ["config", "check", str(questionnaire)]):
        subprocess.run([str(program), *arguments], check=True, cwd="/")


if __name__ == "__main__":
    sys.exit(main())
