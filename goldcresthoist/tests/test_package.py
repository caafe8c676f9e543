"""Tests of the package as a whole."""

import unittest

import goldcresthoist


class PackageTest(unittest.TestCase):
    """Guards against a release without a version."""

    def test_version_is_set(self):
        self.assertRegex(goldcresthoist.__version__, r"^\d+\.\d+\.\d+$")
