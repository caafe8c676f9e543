"""Figures of one phase under one policy."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from goldcresthoist.bench.phases import FAULT_AT_S, FailFast
from goldcresthoist.bench.sites import is_long
from goldcresthoist.config.model import Read

__all__ = ["Latencies", "PhaseFigures", "node_costs"]

HIGHEST_US = 120_000_000
OK = "ok"
# Answers of daemons that prove that the call did not run.
REFUSALS = frozenset(("saturated", "draining", "no-upstream", "not-ready"))


class Latencies:
    """Histogram of latencies from the intended send time."""

    def __init__(self):
        self.histogram = HdrHistogram(1, HIGHEST_US, 3)

    def add(self, result):
        """Count a call that ran; a failed one took at least as long as it may."""
        latency_s = result.latency_s
        if result.outcome != OK:
            latency_s = max(latency_s, result.arrival.rule.longest_s)
        self.histogram.record_value(int(latency_s * 1e6))

    def merge(self, other):
        """Add the calls of another histogram."""
        self.histogram.add(other.histogram)

    def percentile_ms(self, percentile):
        """Return a percentile in milliseconds, or None without calls."""
        if not self.histogram.total_count:
            return None
        value_us = self.histogram.get_value_at_percentile(percentile)
        return round(value_us / 1000.0, 2)

    def summary(self):
        """Return the usual percentiles in milliseconds."""
        return {
            "p50_ms": self.percentile_ms(50.0),
            "p99_ms": self.percentile_ms(99.0),
            "p999_ms": self.percentile_ms(99.9),
        }


class PhaseFigures:
    """Counts of one phase.

    Parameters
    ----------
    site : Site
        Gives the capacity of each service.
    phase : Phase
        Demand and fault.
    results : list of Result
        All calls of the phase.
    """

    def __init__(self, site, phase, results):
        self.site = site
        self.phase = phase
        self.results = results
        self.reads = Latencies()
        self.short = Latencies()
        self.outcomes = Counter(result.outcome for result in results)
        mixed = {s.configuration.name for s in site.services if _has_long(s)}
        for result in results:
            self._count(result, mixed)

    def _count(self, result, mixed):
        if result.outcome in REFUSALS:
            return
        arrival = result.arrival
        if isinstance(arrival.rule.kind, Read):
            self.reads.add(result)
        if arrival.service in mixed and not is_long(arrival.rule):
            self.short.add(result)

    def service_weighted(self):
        """Return the weight answered correctly as a share of the weight offered."""
        offered = sum(result.arrival.rule.weight for result in self.results)
        answered = sum(
            result.arrival.rule.weight
            for result in self.results
            if result.outcome == OK
        )
        return answered / offered if offered else 0.0

    def service_of_servable(self):
        """Return the weight answered as a share of what the slots could serve.

        Only answers that were complete when the last call arrived count, since the
        slots that become free afterwards are not counted either.
        """
        answered = servable = 0.0
        for service in self.site.services:
            name = service.configuration.name
            calls = [r for r in self.results if r.arrival.service == name]
            servable += self._servable_weight(service, calls)
            answered += sum(r.arrival.rule.weight for r in calls if self._in_time(r))
        return answered / servable if servable else 0.0

    def _servable_weight(self, service, calls):
        """Return the weight that slots without any idle time could answer."""
        step_s = 0.1
        steps = round(self.phase.duration_s / step_s)
        slots = service.targets * service.configuration.slots
        work_s = [0.0] * steps
        for result in calls:
            step = min(steps - 1, int(result.arrival.at_s / step_s))
            work_s[step] += result.arrival.service_ms / 1000.0
        waiting_s = served_s = 0.0
        for added_s in work_s:
            waiting_s += added_s
            served_s += min(waiting_s, slots * step_s)
            waiting_s -= min(waiting_s, slots * step_s)
        weight = sum(result.arrival.rule.weight for result in calls)
        return weight * served_s / max(sum(work_s), 1e-9)

    def _in_time(self, result):
        ended_s = result.arrival.at_s + result.latency_s
        return result.outcome == OK and ended_s <= self.phase.duration_s

    def answers_per_s(self):
        """Return the correct answers a second while calls arrived."""
        in_time = sum(self._in_time(result) for result in self.results)
        return in_time / self.phase.duration_s

    def failing_share(self, failing_calls):
        """Return the share of calls that reached an upstream that fails fast."""
        if not isinstance(self.phase.fault, FailFast):
            return None
        calls = sum(result.arrival.at_s >= FAULT_AT_S for result in self.results)
        return failing_calls / max(1, calls)

    def summary(self, failing_calls, costs):
        """Return all figures as a plain mapping."""
        return self.reads.summary() | {
            "short_p99_ms": self.short.percentile_ms(99.0),
            "service_weighted": round(self.service_weighted(), 4),
            "service_of_servable": round(self.service_of_servable(), 4),
            "answers_per_s": round(self.answers_per_s(), 1),
            "failing_share": _rounded(self.failing_share(failing_calls)),
            "outcomes": dict(self.outcomes),
            **costs,
        }


def node_costs(before, after):
    """Return retries and measuring cost between two sets of `NodeReport`."""
    totals = Counter()
    for instance, report in after.items():
        old = before[instance]
        # A daemon that was started again counts from zero.
        again = report.cpu_s < old.cpu_s or report.calls < old.calls
        for name in report.__struct_fields__[1:]:
            value = getattr(report, name)
            totals[name] += value if again else value - getattr(old, name)
    calls = max(1, totals["calls"])
    cpu_share = totals["measuring_cpu_s"] / max(totals["cpu_s"], 1e-9)
    byte_share = totals["measuring_bytes"] / max(totals["link_bytes"], 1)
    return {
        "retry_share": round((totals["retries"] + totals["hedges"]) / calls, 4),
        "hedge_share": round(totals["hedges"] / calls, 4),
        "measuring_cpu_share": round(cpu_share, 5),
        "measuring_byte_share": round(byte_share, 5),
        "measured_times": totals["measured_times"],
        "measuring_cpu_s": round(totals["measuring_cpu_s"], 3),
        "node_cpu_s": round(totals["cpu_s"], 2),
    }


def _has_long(service):
    return any(is_long(rule) for rule in service.work)


def _rounded(value):
    return None if value is None else round(value, 4)
