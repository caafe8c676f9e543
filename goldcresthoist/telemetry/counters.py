"""Counters, gauges and latency histograms of one daemon."""

import math

from goldcresthoist.telemetry._catalogue import (
    ALLOWED_LABEL_VALUES,
    METRICS,
    REFUSAL_CODES,
)
from goldcresthoist.telemetry._histogram import LatencyHistogram

__all__ = ["Counters"]

# Series of one metric. Some label values come from the network, so that without a limit
# remote peers could make the daemon's memory grow.
MAX_SERIES = 256
# Label value of series beyond the limit and of values that are not listed.
OVERFLOW_VALUE = "other"


class CounterValue:
    """Value of one counter series."""

    __slots__ = ("value",)

    def __init__(self):
        self.value = 0


class Counters:
    """Registry of the counters, gauges and latency histograms of one daemon.

    Counters and histograms are kept in plain dicts and read by the exposition at each
    scrape. Each daemon has its own instance, so that several daemons in one test
    process have separate metrics. All methods must be called from the thread of the
    event loop.

    Parameters
    ----------
    exposition : Exposition or PlainExposition, optional
        Formats the metrics; by default through OpenTelemetry.
    """

    def __init__(self, exposition=None):
        self._counter_cache = {}
        self._counters = {}
        self._histogram_cache = {}
        self._histograms = {}
        if exposition is None:
            from goldcresthoist.telemetry._exposition import Exposition

            exposition = Exposition()
        self._exposition = exposition
        for code in REFUSAL_CODES:
            self.add("refusals", 0, code=code)

    def add(self, name, amount=1, **labels):
        """Increase the counter with this name and these label values by ``amount``."""
        counter_value = self._counter_cache.get((name, *labels.items()))
        if counter_value is None:
            counter_value = self._find_or_add_counter(name, labels)
        counter_value.value += amount

    def observe(self, name, seconds, **labels):
        """Record one latency in seconds."""
        histogram = self._histogram_cache.get((name, *labels.items()))
        if histogram is None:
            histogram = self._find_or_add_histogram(name, labels)
        histogram.record(seconds)

    def gauge(self, name, callback):
        """Expose a gauge whose number ``callback()`` returns at each scrape.

        The callback may instead return an iterable of ``(labels, number)`` pairs.
        """
        self._exposition.add_gauge(name, METRICS.get(name, ""), callback)

    def count_from(self, name, callback):
        """Expose a counter that is kept elsewhere in the daemon.

        The callback has the same form as that of `gauge`; its numbers must never
        decrease.
        """
        self._exposition.add_observed_counter(name, METRICS.get(name, ""), callback)

    def value(self, name, **labels):
        """Return the value of one counter series, or 0 if it does not exist."""
        counter_value = self._counters.get(name, {}).get(_series_key(name, labels))
        return counter_value.value if counter_value else 0

    def total(self, name):
        """Return the sum of a counter over all of its series."""
        return sum(
            counter_value.value
            for counter_value in self._counters.get(name, {}).values()
        )

    def quantile(self, name, share, **labels):
        """Return a quantile of the recorded latencies, in seconds.

        ``share`` is the quantile, from 0 to 1. The result is NaN when no latency was
        recorded.
        """
        histogram = self._histograms.get(name, {}).get(_series_key(name, labels))
        return histogram.quantile(share) if histogram else math.nan

    def snapshot(self):
        """Return all counters that are not 0 as ``{"name{label=value}": number}``."""
        return {
            _series_name(name, key): counter_value.value
            for name, series in sorted(self._counters.items())
            for key, counter_value in sorted(series.items())
            if counter_value.value
        }

    def text(self):
        """Return all metrics in the Prometheus text format as bytes."""
        return self._exposition.text()

    def close(self):
        """Release the resources of the exposition."""
        self._exposition.close()

    def _find_or_add_counter(self, name, labels):
        if name not in self._counters:
            series = self._counters[name] = {}
            self._exposition.add_counter(name, METRICS.get(name, ""), series)
        return _find_or_add_series(
            self._counters[name], self._counter_cache, name, labels, CounterValue
        )

    def _find_or_add_histogram(self, name, labels):
        if name not in self._histograms:
            series = self._histograms[name] = {}
            self._exposition.add_histogram(name, METRICS.get(name, ""), series)
        series = self._histograms[name]
        return _find_or_add_series(
            series, self._histogram_cache, name, labels, LatencyHistogram
        )


def _find_or_add_series(series, cache, name, labels, factory):
    key = _series_key(name, labels)
    if key not in series and len(series) >= MAX_SERIES:
        key = tuple((label, OVERFLOW_VALUE) for label, _ in key)
        return series.setdefault(key, factory())
    if key not in series:
        series[key] = factory()
    # The keys of the cache hold label values as passed by the caller, before they are
    # replaced by "other", so that its size needs a limit of its own.
    if len(cache) < MAX_SERIES * len(METRICS):
        cache[(name, *labels.items())] = series[key]
    return series[key]


def _series_key(name, labels):
    return tuple(
        (label, _limited_value(name, label, str(value)))
        for label, value in sorted(labels.items())
    )


def _limited_value(name, label, value):
    allowed = ALLOWED_LABEL_VALUES.get((name, label))
    return value if allowed is None or value in allowed else OVERFLOW_VALUE


def _series_name(name, key):
    labels = ",".join(f"{label}={value}" for label, value in key)
    return f"{name}{{{labels}}}" if labels else name
