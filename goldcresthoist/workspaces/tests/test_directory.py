"""Tests of the identification and the rank of workspaces."""

import unittest

from goldcresthoist.workspaces import (
    Anonymous,
    Identified,
    Rejected,
    Workspace,
    WorkspaceDirectory,
    combined_priority,
)


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.first = Workspace("first", ("k1", "k2"), 1)
        self.directory = WorkspaceDirectory([self.first, Workspace("second", ("k3",))])

    def test_each_key_names_its_workspace(self):
        """Guards against requests that are counted for another workspace."""
        for key in (b"k1", b"k2"):
            found = self.directory.identify(key, public=False)
            self.assertEqual(found, Identified(self.first))
        self.assertEqual(self.directory.identify(b"k3", True).workspace.name, "second")

    def test_unknown_keys_are_rejected(self):
        """Guards against requests that run without a valid key."""
        self.directory = WorkspaceDirectory([self.first, Workspace("open", ("",))])
        for key in (None, b"", b"k", b"K1", b"k1 ", b"first"):
            self.assertEqual(self.directory.identify(key, False), Rejected(), key)

    def test_public_routes_need_no_key(self):
        """Guards against calls of upstreams that are refused; they carry no key."""
        for key in (None, b"other"):
            self.assertEqual(self.directory.identify(key, True), Anonymous(), key)

    def test_keys_are_not_shown(self):
        """Guards against keys in log lines and error messages."""
        self.assertNotIn("k1", repr(self.first))
        self.assertNotIn("k1", repr(self.directory.identify(b"k1", False)))


class PriorityTest(unittest.TestCase):
    def test_workspace_goes_before_route(self):
        """Guards against an urgent workspace behind an urgent route of another one."""
        urgent = Workspace("urgent", (), 0)
        usual = Workspace("usual", (), 1)
        self.assertLess(combined_priority(2, urgent), combined_priority(0, usual))
        self.assertLess(combined_priority(0, usual), combined_priority(2, usual))

    def test_requests_without_a_workspace(self):
        """Guards against calls of upstreams that are ranked before or after all."""
        usual = Workspace("usual", (), 1)
        self.assertEqual(combined_priority(1, None), combined_priority(1, usual))
        self.assertEqual(
            combined_priority(1, Workspace("unranked", ())), combined_priority(1, None)
        )


if __name__ == "__main__":
    unittest.main()
