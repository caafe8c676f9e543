"""Prometheus text form without OpenTelemetry.

On the users' platform OpenTelemetry and its exporter take about 100 ms of processor
time at each start and some 10 MB in every daemon; this module takes neither.
"""

__all__ = ["PlainExposition"]

PREFIX = "goldcresthoist"


class PlainExposition:
    """Has the interface of `goldcresthoist.telemetry._exposition.Exposition`."""

    def __init__(self):
        self.families = []

    def add_counter(self, name, description, series):
        """Expose a live mapping of label pairs to cells with a ``value``."""

        def read():
            return [(dict(key), cell.value) for key, cell in series.items()]

        self.families.append((f"{name}_total", "counter", description, read))

    def add_gauge(self, name, description, callback):
        """Expose a callback that returns a number or ``(labels, number)`` pairs."""
        self.families.append((name, "gauge", description, _reader(callback)))

    def add_observed_counter(self, name, description, callback):
        """Expose a callback like that of `add_gauge` whose numbers only grow."""
        self.families.append(
            (f"{name}_total", "counter", description, _reader(callback))
        )

    def add_histogram(self, name, description, series):
        """Expose a live mapping of label pairs to latency histograms."""

        def read():
            return [(dict(key), histogram) for key, histogram in series.items()]

        self.families.append((name, "histogram", description, read))

    def text(self):
        """Return the Prometheus text format as bytes."""
        lines = []
        for name, kind, description, read in self.families:
            full = f"{PREFIX}_{name}"
            lines.append(f"# HELP {full} {description}")
            lines.append(f"# TYPE {full} {kind}")
            for labels, value in read():
                if kind == "histogram":
                    _add_histogram(lines, full, labels, value)
                else:
                    lines.append(f"{full}{_labels(labels)} {value}")
        return ("\n".join(lines) + "\n").encode()

    def close(self):
        """Nothing is held."""


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
