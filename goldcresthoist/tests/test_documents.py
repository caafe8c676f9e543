"""Tests that the documentation covers the refusal codes and the metrics."""

import re
import unittest
from pathlib import Path

from goldcresthoist.telemetry import METRICS, REFUSAL_CODES

ROOT = Path(__file__).resolve().parents[2]
# A call that updates a metric, with the metric's name as a literal.
COUNTED = re.compile(r"counters\.(?:add|observe|gauge|count_from)\(\s*\"(\w+)\"")
LINK = re.compile(r"\]\(([^)#]+)\)")


class DocumentsTest(unittest.TestCase):
    def test_operations_page_explains_each_code_and_metric(self):
        """Guards against codes and metrics that operators cannot look up."""
        page = (ROOT / "docs" / "OPERATIONS.md").read_text()
        for name in (*REFUSAL_CODES, *METRICS):
            self.assertIn(f"`{name}`", page)

    def test_every_counted_name_is_in_the_catalogue(self):
        """Guards against undescribed metrics and descriptions of metrics not in use."""
        counted = set()
        for path in (ROOT / "goldcresthoist").rglob("*.py"):
            if "tests" not in path.parts:
                counted.update(COUNTED.findall(path.read_text()))
        self.assertEqual(counted, set(METRICS))

    def test_links_of_the_readme_exist(self):
        """Guards against links to pages that have been moved or removed."""
        links = set(LINK.findall((ROOT / "README.md").read_text()))
        for link in links:
            self.assertTrue((ROOT / link).exists(), link)
