"""OpenTelemetry instruments and their Prometheus text form."""

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import HistogramMetricFamily

METER_NAME = "goldcresthoist"
PREFIX = "goldcresthoist"


class Exposition:
    """The instruments of one daemon.

    Counters and gauges are observable OpenTelemetry instruments. OpenTelemetry has no
    observable histogram, and its synchronous one is too slow for the call path, so
    histograms are collected beside it in the same Prometheus registry.
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
        """Expose a live mapping of label pairs to cells with a ``value``."""

        def observe(_options):
            return [Observation(cell.value, dict(key)) for key, cell in series.items()]

        self.meter.create_observable_counter(
            name, callbacks=[observe], description=description
        )

    def add_gauge(self, name, description, callback):
        """Expose a callback that returns a number or ``(labels, number)`` pairs."""
        self.meter.create_observable_gauge(
            name, callbacks=[_observer(callback)], description=description
        )

    def add_observed_counter(self, name, description, callback):
        """Expose a callback like that of `add_gauge` whose numbers only grow."""
        self.meter.create_observable_counter(
            name, callbacks=[_observer(callback)], description=description
        )

    def add_histogram(self, name, description, series):
        """Expose a live mapping of label pairs to latency histograms."""
        self.histograms.families.append((f"{PREFIX}_{name}", description, series))

    def text(self):
        """Return the Prometheus text format as bytes."""
        return generate_latest(self.registry)

    def close(self):
        """Shut the meter provider down."""
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
