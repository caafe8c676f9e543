"""Tests of the set of drained failure domains."""

import unittest

import msgspec

from goldcresthoist.fleet.drained_domains import DrainedDomains
from goldcresthoist.fleet.messages import VersionReport
from goldcresthoist.fleet.tests.builders import make_drain_row
from goldcresthoist.platform import Row, RowPage


def make_page(*rows, version=10, next_key=""):
    """Return a page of the configuration table."""
    return RowPage(rows, version, next_key)


class DrainedDomainsTest(unittest.TestCase):
    def setUp(self):
        self.drained = DrainedDomains()
        self.changes = []
        self.drained.on_change = lambda: self.changes.append(self.drained.domains)

    def test_rows_and_changes_are_followed(self):
        """Guards against a domain that stays drained after its row was removed."""
        config = Row("config", b"{}", 3, False)
        self.drained.apply_rows(make_page(config, make_drain_row("a", 8)))
        self.assertEqual((self.drained.domains, self.drained.revision), ({"a"}, 10))
        self.drained.apply_changes(make_page(make_drain_row("b", 12), version=15))
        self.drained.apply_changes(
            make_page(make_drain_row("a", 16, removed=True), config, version=17)
        )
        self.assertEqual((self.drained.domains, self.drained.revision), ({"b"}, 16))
        self.drained.apply_rows(make_page(config, version=20))
        self.assertEqual(self.drained.domains, frozenset())
        self.assertEqual(len(self.changes), 4)

    def test_unchanged_set_keeps_its_revision(self):
        """Guards against reports of watchers that outdo each other without a change."""
        self.drained.apply_rows(make_page(make_drain_row("a", 8)))
        self.drained.apply_rows(make_page(make_drain_row("a", 8), version=30))
        self.drained.apply_changes(make_page(make_drain_row("a", 31), version=31))
        self.assertEqual(self.drained.revision, 10)
        self.assertEqual(len(self.changes), 1)

    def test_newest_revision_wins(self):
        """Guards against a watcher behind the others that takes a drain back."""
        self.drained.merge(("a", "b"), 20)
        self.drained.merge((), 19)
        self.drained.apply_rows(make_page(version=19))
        late = make_drain_row("b", 18, removed=True)
        self.drained.apply_changes(make_page(late, make_drain_row("c", 21)))
        self.assertEqual(self.drained.domains, {"a", "b", "c"})
        self.assertEqual(self.drained.revision, 21)

    def test_malformed_rows_are_ignored(self):
        """Guards against a mistyped row that takes upstreams out of service."""
        rows = [make_drain_row("", 1), make_drain_row("x" * 201, 2)]
        values = (b"", b"[]", b"{", b"\xff", b"[" * 100_000)
        rows += [make_drain_row(f"d{n}", 3, value) for n, value in enumerate(values)]
        rows.append(Row("evacuated", b"{}", 4, False))
        self.drained.apply_rows(make_page(*rows, make_drain_row("a", 5)))
        self.assertEqual(self.drained.domains, {"a"})
        bad = make_drain_row("b", 11, b"[]")
        self.drained.apply_changes(make_page(bad, version=11))
        self.assertEqual(self.drained.domains, {"a"})

    def test_incomplete_rows_take_nothing_back(self):
        """Guards against drained domains that are lost with the end of a long page."""
        self.drained.merge(("a",), 5)
        self.drained.apply_rows(make_page(next_key="evacuate/0", version=30))
        self.assertEqual(self.drained.domains, {"a"})
        unknown = DrainedDomains()
        unknown.apply_changes(make_page(make_drain_row("b", 31), version=31))
        self.assertEqual(unknown.revision, -1)

    def test_report_of_an_earlier_release_changes_nothing(self):
        """Guards against a rolling upgrade in which old watchers clear the set."""
        earlier = msgspec.msgpack.encode((1, "10.0.0.2", 7, 10, 10))
        report = msgspec.msgpack.decode(earlier, type=VersionReport)
        self.drained.merge(("a",), 20)
        self.drained.merge(report.drained_domains, report.domains_revision)
        self.assertEqual(self.drained.domains, {"a"})
