"""Tests of the parts of ``make binary`` that do not need a compiler."""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))

from binary.payload import (  # noqa: E402
    dependency_order,
    module_name,
    package_modules,
)


class PayloadTest(unittest.TestCase):
    def test_module_of_a_shared_object(self):
        """Guards against extension modules that the built program cannot import.

        The name to import is the path within ``lib-dynload`` or the package folder,
        without the tag of the interpreter or of the ABI.
        """
        for path, name in (
            ("python3.11/lib-dynload/_ssl.cpython-311-x86_64-linux-gnu.so", "_ssl"),
            ("uvloop/loop.cpython-311-x86_64-linux-gnu.so", "uvloop.loop"),
            ("a/b/c.abi3.so", "a.b.c"),
        ):
            self.assertEqual(module_name(path), name)

    def test_libraries_follow_those_they_need(self):
        """Guards against loading a library of the system instead of the bundled one.

        This happens when a library is loaded before the bundled libraries it needs.
        """
        needed = {
            "libssl": ["libcrypto", "libc"],
            "libcrypto": ["libz"],
            "libz": ["libc"],
        }
        self.assertEqual(dependency_order(needed), ["libz", "libcrypto", "libssl"])

    def test_circular_libraries_are_an_error(self):
        """Guards against an order in which a library precedes one that it needs.

        Libraries that need each other have no other order.
        """
        with self.assertRaises(ValueError):
            dependency_order({"a": ["b"], "b": ["a"]})

    def test_program_has_the_lazily_imported_daemon_but_no_tests(self):
        """Guards against a module that is missing because it is imported only later.

        The program also must not contain the tests.
        """
        modules = package_modules(ROOT, "goldcresthoist")
        self.assertIn("goldcresthoist.daemon", modules)
        self.assertFalse([name for name in modules if ".tests" in name])
