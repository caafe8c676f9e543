"""Tests of the event log and metrics."""

import io
import logging
import unittest

from loguru import logger

from goldcresthoist.telemetry import (
    REFUSAL_CODES,
    Counters,
    configure_logging,
    log_event,
)
from goldcresthoist.telemetry.counters import MAX_SERIES


class LogTest(unittest.TestCase):
    def setUp(self):
        self.stream = io.StringIO()
        configure_logging("INFO", self.stream)
        self.addCleanup(logger.remove)
        self.addCleanup(logging.basicConfig, force=True)

    def test_event_is_one_line_even_with_line_breaks_in_values(self):
        """Guards against log injection through a request path."""
        log_event("info", "call refused", path="/a\nlevel=error", code="saturated")
        lines = self.stream.getvalue().splitlines()
        self.assertEqual(len(lines), 1)
        self.assertRegex(
            lines[0], r'^\S+Z level=info event="call refused" path="/a\\nlevel=error"'
        )

    def test_secrets_are_redacted(self):
        """Guards against secret keys in log files."""
        log_event("warning", "bad settings", shared_key="c0ffee", peer="10.0.0.1:1")
        self.assertNotIn("c0ffee", self.stream.getvalue())
        self.assertIn("peer=10.0.0.1:1", self.stream.getvalue())

    def test_braces_and_markup_in_values_are_literal(self):
        """Guards against loguru interpreting values as format strings or markup."""
        log_event("info", "odd", value="{extra} <red>x</red>")
        self.assertIn('value="{extra} <red>x</red>"', self.stream.getvalue())

    def test_library_messages_are_one_line_with_their_exception(self):
        """Guards against multi-line tracebacks of libraries in the log."""
        try:
            raise ValueError("two\nlines")
        except ValueError:
            logging.getLogger("asyncio").exception("task failed")
        logger.warning("event=direct")
        lines = self.stream.getvalue().splitlines()
        self.assertEqual(len(lines), 2, lines)
        self.assertIn('logger=asyncio message="task failed"', lines[0])
        self.assertIn('error="ValueError: two\\nlines"', lines[0])
        self.assertRegex(lines[0], r"at=\S+test_telemetry\.py:\d+")
        self.assertIn("level=warning event=direct", lines[1])

    def test_events_below_the_level_are_not_written(self):
        log_event("debug", "noise")
        self.assertEqual(self.stream.getvalue(), "")


class CountersTest(unittest.TestCase):
    def setUp(self):
        self.counters = Counters()
        self.addCleanup(self.counters.close)

    def test_every_refusal_code_is_exposed_from_the_start(self):
        """Guards against alerts that miss the first refusal with a code.

        A Prometheus rate needs a previous sample of the series.
        """
        text = self.counters.text().decode()
        for code in REFUSAL_CODES:
            self.assertIn(f'goldcresthoist_refusals_total{{code="{code}"}} 0.0', text)

    def test_label_order_does_not_split_a_series(self):
        self.counters.add("calls", service="a", work="b")
        self.counters.add("calls", 2, work="b", service="a")
        self.assertEqual(self.counters.value("calls", service="a", work="b"), 3)

    def test_unlisted_code_is_counted_as_other(self):
        """Guards against label values that callers choose."""
        self.counters.add("refusals", code="made-up")
        self.assertEqual(self.counters.value("refusals", code="other"), 1)

    def test_series_of_a_counter_are_bounded(self):
        """Guards against memory growth through label values from the network."""
        for number in range(3 * MAX_SERIES):
            self.counters.add("links_closed", reason=f"reason {number}")
        text = self.counters.text().decode()
        self.assertLessEqual(text.count("links_closed_total{"), MAX_SERIES + 1)
        self.assertEqual(self.counters.total("links_closed"), 3 * MAX_SERIES)

    def test_gauge_reads_its_callback(self):
        self.counters.gauge("members", lambda: [({"state": "alive"}, 7)])
        self.counters.gauge("in_flight", lambda: 3)
        text = self.counters.text().decode()
        self.assertIn('goldcresthoist_members{state="alive"} 7.0', text)
        self.assertIn("goldcresthoist_in_flight 3.0", text)

    def test_histogram_counts_and_quantile(self):
        for milliseconds in range(1, 101):
            self.counters.observe("call_seconds", milliseconds / 1000, service="a")
        self.assertAlmostEqual(
            self.counters.quantile("call_seconds", 0.5, service="a"), 0.05, delta=0.01
        )
        text = self.counters.text().decode()
        self.assertIn(
            'goldcresthoist_call_seconds_bucket{le="+Inf",service="a"} 100.0', text
        )
        self.assertIn('goldcresthoist_call_seconds_count{service="a"} 100.0', text)

    def test_instances_are_independent(self):
        """Guards against daemons in one process that share their metrics."""
        other = Counters()
        self.addCleanup(other.close)
        other.add("hedges", service="a")
        self.assertEqual(self.counters.total("hedges"), 0)
        self.assertNotIn(b"hedges", self.counters.text())
