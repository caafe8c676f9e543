"""Main module of the single-file program, which imports extensions from memory."""

import os
import sys
from importlib.machinery import ExtensionFileLoader, ModuleSpec
from zipimport import zipimporter

from _binary_index import EXTENSIONS

PROGRAM_FILE = "/proc/self/exe"


class MemoryExtensionFinder:
    """Finds extension modules in the zip archive at the end of the program file.

    The dynamic linker loads from files only, so each extension module is copied to an
    anonymous file in memory (memfd). The file stays open, because the dynamic linker
    identifies libraries by their path, and a reused descriptor has the same path.
    """

    def __init__(self):
        self.archive = zipimporter(PROGRAM_FILE)

    def find_spec(self, name, path=None, target=None):
        """Return the spec of an extension module, or None for other modules."""
        member = EXTENSIONS.get(name)
        if member is None:
            return None
        descriptor = os.memfd_create(name)
        with open(descriptor, "wb", closefd=False) as file:
            file.write(self.archive.get_data(member))
        origin = f"/proc/self/fd/{descriptor}"
        return ModuleSpec(name, ExtensionFileLoader(name, origin), origin=origin)


def main():
    """Run the command line."""
    sys.meta_path.insert(0, MemoryExtensionFinder())
    # This import needs extension modules, and so the finder.
    from goldcresthoist.cli import main as run

    sys.exit(run())


main()
