"""Tests of the set of drained failure domains."""

import unittest
from unittest import mock

import msgspec

from goldcresthoist.clock import monotonic
from goldcresthoist.fleet.drained_domains import KEPT_S, DrainedDomains
from goldcresthoist.fleet.messages import VersionReport
from goldcresthoist.fleet.tests.builders import make_drain_row
from goldcresthoist.platform import Row, RowPage, StorePosition


def make_page(*rows, version=10, next_key="", era=0):
    """Return a page of the configuration table."""
    return RowPage(rows, version, next_key, era)


class DrainedDomainsTest(unittest.TestCase):
    def setUp(self):
        self.drained = DrainedDomains()
        self.changes = []
        self.drained.on_change = lambda: self.changes.append(self.drained.domains)

    def test_rows_and_changes_are_followed(self):
        """Guards against a domain that stays drained after its row was removed."""
        config = Row("config", b"{}", 3, False)
        self.drained.apply_rows(make_page(config, make_drain_row("a", 8)))
        self.assertEqual(
            (self.drained.domains, self.drained.position.version), ({"a"}, 10)
        )
        self.drained.apply_changes(make_page(make_drain_row("b", 12), version=15))
        self.drained.apply_changes(
            make_page(make_drain_row("a", 16, removed=True), config, version=17)
        )
        self.assertEqual(
            (self.drained.domains, self.drained.position.version), ({"b"}, 16)
        )
        self.drained.apply_rows(make_page(config, version=20))
        self.assertEqual(self.drained.domains, frozenset())
        self.assertEqual(len(self.changes), 4)

    def test_unchanged_set_keeps_its_revision(self):
        """Guards against reports of watchers that outdo each other without a change."""
        self.drained.apply_rows(make_page(make_drain_row("a", 8)))
        self.drained.apply_rows(make_page(make_drain_row("a", 8), version=30))
        self.drained.apply_changes(make_page(make_drain_row("a", 31), version=31))
        self.assertEqual(self.drained.position.version, 10)
        self.assertEqual(len(self.changes), 1)

    def test_newest_revision_wins(self):
        """Guards against a watcher behind the others that takes a drain back."""
        self.drained.merge(("a", "b"), StorePosition(0, 20))
        self.drained.merge((), StorePosition(0, 19))
        self.drained.apply_rows(make_page(version=19))
        late = make_drain_row("b", 18, removed=True)
        self.drained.apply_changes(make_page(late, make_drain_row("c", 21)))
        self.assertEqual(self.drained.domains, {"a", "b", "c"})
        self.assertEqual(self.drained.position.version, 21)

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
        self.drained.merge(("a",), StorePosition(0, 5))
        self.drained.apply_rows(make_page(next_key="evacuate/0", version=30))
        self.assertEqual(self.drained.domains, {"a"})
        unknown = DrainedDomains()
        unknown.apply_changes(make_page(make_drain_row("b", 31), version=31))
        self.assertEqual(unknown.position.version, -1)

    def test_report_of_an_earlier_release_changes_nothing(self):
        """Guards against a rolling upgrade in which old watchers clear the set."""
        earlier = msgspec.msgpack.encode((1, "10.0.0.2", 7, 10, 10))
        report = msgspec.msgpack.decode(earlier, type=VersionReport)
        self.drained.merge(("a",), StorePosition(0, 20))
        self.drained.merge(
            report.drained_domains,
            StorePosition(report.domains_era, report.domains_revision),
        )
        self.assertEqual(self.drained.domains, {"a"})

    def test_smaller_version_of_a_later_era_wins(self):
        """Guards against drains that have no effect after the store was restored.

        Their versions are those that the store had given out before.
        """
        self.drained.apply_rows(make_page(make_drain_row("a", 90), version=90, era=1))
        self.drained.apply_rows(make_page(make_drain_row("a", 20), version=40, era=2))
        new = make_drain_row("b", 41)
        self.drained.apply_changes(make_page(new, version=41, era=2))
        self.drained.merge((), StorePosition(1, 95))
        self.assertEqual(self.drained.domains, {"a", "b"})
        self.assertEqual(self.drained.position, StorePosition(2, 41))

    def test_changes_of_another_era_are_ignored(self):
        """Guards against a set made of the rows of two histories."""
        self.drained.apply_rows(make_page(make_drain_row("a", 90), version=90, era=1))
        for era in (0, 2):
            new = make_drain_row("b", 95)
            self.drained.apply_changes(make_page(new, version=95, era=era))
        self.assertEqual(self.drained.domains, {"a"})

    def test_lost_drains_are_kept_for_a_while(self):
        """Guards against requests to a drained domain until its row is back.

        Also guards against one that stays drained although it was taken back.
        """
        rows = [make_drain_row(domain, 90) for domain in "abcd"]
        self.drained.apply_rows(make_page(*rows, version=90, era=1))
        self.drained.merge(("a",), StorePosition(2, 40))
        self.assertEqual(self.drained.domains, set("abcd"))
        again = make_drain_row("b", 41)
        taken_back = make_drain_row("c", 42, removed=True)
        self.drained.apply_changes(make_page(again, taken_back, version=42, era=2))
        self.assertEqual(self.drained.domains, set("abd"))
        self.drained.merge(("a",), StorePosition(2, 43))
        self.assertEqual(self.drained.domains, set("ad"))
        self.drained.expire_kept()
        self.assertEqual(self.drained.domains, set("ad"))
        later = monotonic() + KEPT_S
        name = "goldcresthoist.fleet.drained_domains.monotonic"
        with mock.patch(name, lambda: later):
            self.drained.expire_kept()
        self.assertEqual(self.changes[-1], {"a"})
