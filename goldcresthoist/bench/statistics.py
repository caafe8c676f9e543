"""Statistics of one phase under one policy."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from goldcresthoist.bench.phases import FAULT_AT_S, FailFast
from goldcresthoist.bench.sites import is_long_work
from goldcresthoist.config.model import Read

__all__ = ["LatencyHistogram", "PhaseStatistics", "node_costs"]

MAX_LATENCY_US = 120_000_000
OK = "ok"
# Refusal codes of daemons that guarantee that the call was not executed.
REFUSALS = frozenset(("saturated", "draining", "no-upstream", "not-ready"))


class LatencyHistogram:
    """Histogram of latencies, counted from the intended send time."""

    def __init__(self):
        self.histogram = HdrHistogram(1, MAX_LATENCY_US, 3)

    def add(self, result):
        """Add a call that was executed.

        A call that failed counts with at least its whole deadline.
        """
        latency_s = result.latency_s
        if result.outcome != OK:
            latency_s = max(latency_s, result.arrival.rule.longest_s)
        self.histogram.record_value(int(latency_s * 1e6))

    def merge(self, other):
        """Add all calls of another histogram."""
        self.histogram.add(other.histogram)

    def percentile_ms(self, percentile):
        """Return a percentile in milliseconds, or None if there are no calls."""
        if not self.histogram.total_count:
            return None
        value_us = self.histogram.get_value_at_percentile(percentile)
        return round(value_us / 1000.0, 2)

    def summary(self):
        """Return the 50th, 99th and 99.9th percentile in milliseconds."""
        return {
            "p50_ms": self.percentile_ms(50.0),
            "p99_ms": self.percentile_ms(99.0),
            "p999_ms": self.percentile_ms(99.9),
        }


class PhaseStatistics:
    """Latencies, outcomes and throughput of one phase.

    Parameters
    ----------
    site : Site
        The site that was measured, with the capacity of each service.
    phase : Phase
        The phase that was run.
    results : list of Result
        Results of all calls of the phase.
    """

    def __init__(self, site, phase, results):
        self.site = site
        self.phase = phase
        self.results = results
        # Latencies of reads, and of short work in services that also have long work.
        self.reads = LatencyHistogram()
        self.short = LatencyHistogram()
        self.outcomes = Counter(result.outcome for result in results)
        mixed_services = {
            s.configuration.name for s in site.services if _has_long_work(s)
        }
        for result in results:
            self._add_latency(result, mixed_services)

    def _add_latency(self, result, mixed_services):
        """Add a result to the histograms that it belongs to."""
        if result.outcome in REFUSALS:
            return
        arrival = result.arrival
        if isinstance(arrival.rule.kind, Read):
            self.reads.add(result)
        if arrival.service in mixed_services and not is_long_work(arrival.rule):
            self.short.add(result)

    def service_weighted(self):
        """Return the weight of correct responses as a share of all weight offered."""
        offered = sum(result.arrival.rule.weight for result in self.results)
        answered = sum(
            result.arrival.rule.weight
            for result in self.results
            if result.outcome == OK
        )
        return answered / offered if offered else 0.0

    def service_of_servable(self):
        """Return the weight of correct responses as a share of the servable weight.

        The servable weight is the weight that the slots could serve. Only responses
        until the end of the phase count, because the slots that become free after it
        are not part of the capacity either.
        """
        answered = servable = 0.0
        for service in self.site.services:
            name = service.configuration.name
            calls = [r for r in self.results if r.arrival.service == name]
            servable += self._servable_weight(service, calls)
            answered += sum(
                r.arrival.rule.weight for r in calls if self._completed_in_phase(r)
            )
        return answered / servable if servable else 0.0

    def _servable_weight(self, service, calls):
        """Return the weight that the slots could serve if none idled while work waits.

        This simulates a single queue in front of all slots of the service, in steps
        of 0.1 s.
        """
        step_s = 0.1
        steps = round(self.phase.duration_s / step_s)
        slots = service.target_count * service.configuration.slots
        work_s = [0.0] * steps
        for result in calls:
            step = min(steps - 1, int(result.arrival.at_s / step_s))
            work_s[step] += result.arrival.service_ms / 1000.0
        backlog_s = served_s = 0.0
        for offered_s in work_s:
            backlog_s += offered_s
            served_s += min(backlog_s, slots * step_s)
            backlog_s -= min(backlog_s, slots * step_s)
        weight = sum(result.arrival.rule.weight for result in calls)
        return weight * served_s / max(sum(work_s), 1e-9)

    def _completed_in_phase(self, result):
        ended_s = result.arrival.at_s + result.latency_s
        return result.outcome == OK and ended_s <= self.phase.duration_s

    def answers_per_s(self):
        """Return the rate of correct responses over the duration of the phase."""
        completed = sum(self._completed_in_phase(result) for result in self.results)
        return completed / self.phase.duration_s

    def failing_share(self, failing_calls):
        """Return the share of calls since the fault that a failing upstream got.

        None if the fault of the phase is not `FailFast`.
        """
        if not isinstance(self.phase.fault, FailFast):
            return None
        calls = sum(result.arrival.at_s >= FAULT_AT_S for result in self.results)
        return failing_calls / max(1, calls)

    def summary(self, failing_calls, costs):
        """Return all statistics as a dict for JSON."""
        return self.reads.summary() | {
            "short_p99_ms": self.short.percentile_ms(99.0),
            "service_weighted": round(self.service_weighted(), 4),
            "service_of_servable": round(self.service_of_servable(), 4),
            "answers_per_s": round(self.answers_per_s(), 1),
            "failing_share": _round_or_none(self.failing_share(failing_calls)),
            "outcomes": dict(self.outcomes),
            **costs,
        }


def node_costs(before, after):
    """Return retries and the cost of load measurement between two sets of reports.

    Parameters
    ----------
    before, after : dict of str to NodeReport
        Reports by instance.
    """
    totals = Counter()
    for instance, report in after.items():
        old = before[instance]
        # The counters of a restarted daemon start at zero.
        restarted = report.cpu_s < old.cpu_s or report.calls < old.calls
        for name in report.__struct_fields__[1:]:
            value = getattr(report, name)
            totals[name] += value if restarted else value - getattr(old, name)
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


def _has_long_work(service):
    return any(is_long_work(rule) for rule in service.work)


def _round_or_none(value):
    return None if value is None else round(value, 4)
