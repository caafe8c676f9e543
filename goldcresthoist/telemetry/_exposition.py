"""Exposition of metrics through OpenTelemetry in the Prometheus text format."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import HistogramMetricFamily

METER_NAME = "goldcresthoist"
PREFIX = "goldcresthoist"


class Exposition:
    """Instruments and Prometheus registry of one daemon.

    Counters and gauges are observable OpenTelemetry instruments. OpenTelemetry has no
    observable histogram, and its synchronous histogram is too slow to be recorded for
    every call. Histograms therefore bypass OpenTelemetry and have a collector of their
    own in the same Prometheus registry.
    """

    def __init__(self):
        self.registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True,
            prefix=PREFIX,
            scope_info_enabled=False,
            registry=self.registry,
        )
        self.provider = MeterProvider(
            metric_readers=[reader], resource=Resource({}), shutdown_on_exit=False
        )
        self.meter = self.provider.get_meter(METER_NAME)
        self.histograms = _HistogramCollector()
        self.registry.register(self.histograms)

    def add_counter(self, name, description, series):
        """Expose a counter.

        ``series`` maps label pairs to objects with a ``value`` and is read at each
        scrape.
        """

        def observe(_options):
            return [
                Observation(counter_value.value, dict(key))
                for key, counter_value in series.items()
            ]

        self.meter.create_observable_counter(
            name, callbacks=[observe], description=description
        )

    def add_gauge(self, name, description, callback):
        """Expose a gauge.

        ``callback()`` returns a number or ``(labels, number)`` pairs.
        """
        self.meter.create_observable_gauge(
            name, callbacks=[_observer(callback)], description=description
        )

    def add_observed_counter(self, name, description, callback):
        """Expose a counter from a callback like that of `add_gauge`.

        The numbers that it returns must never decrease.
        """
        self.meter.create_observable_counter(
            name, callbacks=[_observer(callback)], description=description
        )

    def add_histogram(self, name, description, series):
        """Expose a histogram.

        ``series`` maps label pairs to `LatencyHistogram` objects and is read at each
        scrape.
        """
        self.histograms.families.append((f"{PREFIX}_{name}", description, series))

    def text(self):
        """Return all metrics in the Prometheus text format as bytes."""
        return generate_latest(self.registry)

    def close(self):
        """Shut down the meter provider."""
        self.provider.shutdown()


def _observer(callback):
    def observe(_options):
        result = callback()
        if isinstance(result, (int, float)):
            return [Observation(result)]
        return [Observation(number, labels) for labels, number in result]

    return observe


class _HistogramCollector:
    def __init__(self):
        self.families = []

    def collect(self):
        for name, description, series in self.families:
            labels = sorted({label for key in series for label, _ in key})
            family = HistogramMetricFamily(name, description, labels=labels)
            for key, histogram in series.items():
                values = dict(key)
                family.add_metric(
                    [values.get(label, "") for label in labels],
                    histogram.cumulative(),
                    histogram.sum_s,
                )
            yield family
