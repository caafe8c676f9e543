"""Exposition of metrics in the Prometheus text format without OpenTelemetry.

On the users' platform, OpenTelemetry and its Prometheus exporter cost about 100 ms of
CPU time at each start and about 10 MB of memory in each daemon. This module avoids
both costs.
"""

__all__ = ["PlainExposition"]

PREFIX = "goldcresthoist"


class PlainExposition:
    """Same interface as `goldcresthoist.telemetry._exposition.Exposition`."""

    def __init__(self):
        self.families = []

    def add_counter(self, name, description, series):
        """Expose a counter.

        ``series`` maps label pairs to objects with a ``value`` and is read at each
        scrape.
        """

        def read():
            return [
                (dict(key), counter_value.value)
                for key, counter_value in series.items()
            ]

        self.families.append((f"{name}_total", "counter", description, read))

    def add_gauge(self, name, description, callback):
        """Expose a gauge.

        ``callback()`` returns a number or ``(labels, number)`` pairs.
        """
        self.families.append((name, "gauge", description, _reader(callback)))

    def add_observed_counter(self, name, description, callback):
        """Expose a counter from a callback like that of `add_gauge`.

        The numbers that it returns must never decrease.
        """
        self.families.append(
            (f"{name}_total", "counter", description, _reader(callback))
        )

    def add_histogram(self, name, description, series):
        """Expose a histogram.

        ``series`` maps label pairs to `LatencyHistogram` objects and is read at each
        scrape.
        """

        def read():
            return [(dict(key), histogram) for key, histogram in series.items()]

        self.families.append((name, "histogram", description, read))

    def text(self):
        """Return all metrics in the Prometheus text format as bytes."""
        lines = []
        for name, kind, description, read in self.families:
            metric_name = f"{PREFIX}_{name}"
            lines.append(f"# HELP {metric_name} {description}")
            lines.append(f"# TYPE {metric_name} {kind}")
            for labels, value in read():
                if kind == "histogram":
                    _add_histogram(lines, metric_name, labels, value)
                else:
                    lines.append(f"{metric_name}{_labels(labels)} {value}")
        return ("\n".join(lines) + "\n").encode()

    def close(self):
        """Do nothing; there are no resources to release."""


def _reader(callback):
    def read():
        result = callback()
        if isinstance(result, int | float):
            return [({}, result)]
        return list(result)

    return read


def _add_histogram(lines, name, labels, histogram):
    total = 0
    for bound, total in histogram.cumulative():
        lines.append(f"{name}_bucket{_labels({**labels, 'le': bound})} {total}")
    lines.append(f"{name}_sum{_labels(labels)} {histogram.sum_s}")
    lines.append(f"{name}_count{_labels(labels)} {total}")


def _labels(labels):
    if not labels:
        return ""
    pairs = ",".join(f'{key}="{_escaped(value)}"' for key, value in labels.items())
    return "{" + pairs + "}"


def _escaped(value):
    return str(value).replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
