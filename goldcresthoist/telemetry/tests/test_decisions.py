"""Tests of the decision log and of the metrics text without OpenTelemetry."""

import json
import os
import unittest

from goldcresthoist.telemetry import Counters, DecisionLog, PlainExposition
from goldcresthoist.telemetry.decisions import BURST_LINES, MAX_BUFFERED_BYTES


class DecisionLogTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.log = DecisionLog("n1", self.writer)

    def tearDown(self):
        for descriptor in (self.reader, self.writer):
            os.close(descriptor)

    def lines(self):
        try:
            data = os.read(self.reader, 1 << 20)
        except BlockingIOError:
            return []
        return [json.loads(line) for line in data.splitlines()]

    def test_event_is_one_json_line(self):
        """Guards against line breaks in values that split a line of JSON."""
        self.log.event("request", id="x", decisions=[{"to": "y\n"}])
        (line,) = self.lines()
        self.assertEqual(
            (line["event"], line["at"], line["id"]), ("request", "n1", "x")
        )

    def test_buffer_is_bounded_when_the_pipe_is_full(self):
        """Guards against a slow log reader that blocks a daemon or fills its memory."""
        for number in range(int(BURST_LINES)):
            self.log.event("request", id=number, text="x" * 1000)
        self.assertLessEqual(self.log.buffered_bytes, MAX_BUFFERED_BYTES)
        self.assertGreater(self.log.dropped, 0)

    def test_line_rate_is_limited(self):
        """Guards against a log whose size grows with the request rate."""
        written = 0
        for number in range(int(2 * BURST_LINES)):
            self.log.event("request", id=number)
            written += len(self.lines()) if number % 50 == 49 else 0
        self.assertLess(written, 1.2 * BURST_LINES)
        self.log.tokens = 1.0
        self.log.event("last")
        self.assertGreater(self.lines()[-1]["lines_dropped"], 0)

    def test_invalid_descriptor_disables_the_log(self):
        """Guards against a daemon that fails when its log descriptor is not open."""
        log = DecisionLog("n1", 10_000)
        log.event("request")
        self.assertEqual(log.descriptor, -1)


class PlainExpositionTest(unittest.TestCase):
    def test_prometheus_text(self):
        """Guards against metrics text that Prometheus cannot parse."""
        counters = Counters(PlainExposition())
        counters.add("retries", reason="saturated")
        counters.observe("request_seconds", 0.2, outcome="answered")
        counters.gauge("members", lambda: 3)
        counters.count_from("log_lines_dropped", lambda: 2)
        text = counters.text().decode()
        self.assertIn('goldcresthoist_retries_total{reason="saturated"} 1', text)
        self.assertIn("goldcresthoist_members 3", text)
        self.assertIn("goldcresthoist_log_lines_dropped_total 2", text)
        self.assertIn(
            'goldcresthoist_request_seconds_count{outcome="answered"} 1', text
        )
        self.assertIn('le="+Inf"', text)
