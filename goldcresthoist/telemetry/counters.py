"""Counters, gauges and latency histograms of one daemon."""

import math

from goldcresthoist.telemetry._catalogue import ALLOWED_VALUES, METRICS, REFUSAL_CODES
from goldcresthoist.telemetry._histogram import LatencyHistogram

__all__ = ["Counters"]

# A label taken from the network must not grow the memory of the daemon without limit.
MAX_SERIES = 256
OVERFLOW = "other"


class Cell:
    """The value of one series."""

    __slots__ = ("value",)

    def __init__(self):
        self.value = 0


class Counters:
    """Aggregates metrics in plain dicts and exposes them through OpenTelemetry.

    One instance belongs to one daemon, so that several daemons in a test process keep
    their figures apart. All methods are called from the thread of the event loop.
    """

    def __init__(self, exposition=None):
        self._cells = {}
        self._counters = {}
        self._histogram_cells = {}
        self._histograms = {}
        if exposition is None:
            from goldcresthoist.telemetry._exposition import Exposition

            exposition = Exposition()
        self._exposition = exposition
        for code in REFUSAL_CODES:
            self.add("refusals", 0, code=code)

    def add(self, name, amount=1, **labels):
        """Add to the counter with this name and these label values."""
        cell = self._cells.get((name, *labels.items()))
        if cell is None:
            cell = self._admit_counter(name, labels)
        cell.value += amount

    def observe(self, name, seconds, **labels):
        """Record one latency in seconds."""
        histogram = self._histogram_cells.get((name, *labels.items()))
        if histogram is None:
            histogram = self._admit_histogram(name, labels)
        histogram.record(seconds)

    def gauge(self, name, callback):
        """Expose the number that ``callback()`` returns when metrics are read.

        The callback may instead return an iterable of ``(labels, number)`` pairs.
        """
        self._exposition.add_gauge(name, METRICS.get(name, ""), callback)

    def count_from(self, name, callback):
        """Expose as a counter the number that another part of the daemon counts.

        The callback returns what that of `gauge` returns; it must never go down.
        """
        self._exposition.add_observed_counter(name, METRICS.get(name, ""), callback)

    def value(self, name, **labels):
        """Return the value of one counter series, 0 when it was never added to."""
        cell = self._counters.get(name, {}).get(_series_key(name, labels))
        return cell.value if cell else 0

    def total(self, name):
        """Return the sum of a counter over all of its label values."""
        return sum(cell.value for cell in self._counters.get(name, {}).values())

    def quantile(self, name, share, **labels):
        """Return the latency in seconds below which ``share`` of the values lie.

        The result is NaN when nothing was recorded.
        """
        histogram = self._histograms.get(name, {}).get(_series_key(name, labels))
        return histogram.quantile(share) if histogram else math.nan

    def snapshot(self):
        """Return ``{"name{label=value}": number}`` of all counters that are not 0."""
        return {
            _series_name(name, key): cell.value
            for name, series in sorted(self._counters.items())
            for key, cell in sorted(series.items())
            if cell.value
        }

    def text(self):
        """Return all metrics in the Prometheus text format as bytes."""
        return self._exposition.text()

    def close(self):
        """Release the OpenTelemetry reader."""
        self._exposition.close()

    def _admit_counter(self, name, labels):
        if name not in self._counters:
            series = self._counters[name] = {}
            self._exposition.add_counter(name, METRICS.get(name, ""), series)
        return _admit(self._counters[name], self._cells, name, labels, Cell)

    def _admit_histogram(self, name, labels):
        if name not in self._histograms:
            series = self._histograms[name] = {}
            self._exposition.add_histogram(name, METRICS.get(name, ""), series)
        series = self._histograms[name]
        return _admit(series, self._histogram_cells, name, labels, LatencyHistogram)


def _admit(series, cells, name, labels, make):
    key = _series_key(name, labels)
    if key not in series and len(series) >= MAX_SERIES:
        key = tuple((label, OVERFLOW) for label, _ in key)
        return series.setdefault(key, make())
    if key not in series:
        series[key] = make()
    if len(cells) < MAX_SERIES * len(METRICS):
        cells[(name, *labels.items())] = series[key]
    return series[key]


def _series_key(name, labels):
    return tuple(
        (label, _bounded(name, label, str(value)))
        for label, value in sorted(labels.items())
    )


def _bounded(name, label, value):
    allowed = ALLOWED_VALUES.get((name, label))
    return value if allowed is None or value in allowed else OVERFLOW


def _series_name(name, key):
    labels = ",".join(f"{label}={value}" for label, value in key)
    return f"{name}{{{labels}}}" if labels else name
