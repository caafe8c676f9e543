"""Log events and metrics of the order of calls at the local upstream."""

__all__ = ["SchedulingReport"]

# Evictions and kinds that are served less often are logged at most once in this time.
LOG_INTERVAL_S = 5.0
# Workspaces whose evicted calls are counted for one log event.
MAX_WORKSPACES = 64


class SchedulingReport:
    """Reports which calls give way to others, and kinds that are served less often.

    Nothing is reported for calls in a queue without workspaces, except the metric of
    evictions.

    Parameters
    ----------
    queue : SlotQueue
    counters
        Has ``add(name, amount=1, **labels)``.
    log
        Has ``event(name, **fields)``.
    """

    def __init__(self, queue, counters, log):
        self.queue = queue
        self.counters = counters
        self.log = log
        # Evicted calls by workspace since the last log event.
        self.evicted = {}
        self.next_log_at = 0.0
        queue.on_evicted = self.record_eviction

    def record_eviction(self, victim, call):
        """Count a waiting call that was refused in favour of a new one."""
        same_kind = (victim.work, victim.priority) == (call.work, call.priority)
        cause = "use" if same_kind and victim.workspace else "rank"
        self.counters.add("calls_evicted", cause=cause)
        name = victim.workspace
        if name and (name in self.evicted or len(self.evicted) < MAX_WORKSPACES):
            self.evicted[name] = self.evicted.get(name, 0) + 1

    def log_if_due(self, now):
        """Log what happened since the last event; ``now`` is in monotonic seconds."""
        if now < self.next_log_at:
            return
        self.next_log_at = now + LOG_INTERVAL_S
        ranking = self.queue.ranking
        if self.evicted:
            name = max(self.evicted, key=self.evicted.get)
            self.log.event(
                "calls evicted",
                total=sum(self.evicted.values()),
                workspaces=len(self.evicted),
                most=name,
                most_evicted=self.evicted[name],
                most_used_s=round(ranking.fair_share.use_s(name, now), 2),
            )
            self.evicted.clear()
        for (work, priority), standing in ranking.kinds.standings(now).items():
            share = ranking.kinds.shares(now).get((work, priority), 0.0)
            self.log.event(
                "kind served less often",
                work=work,
                priority=priority,
                standing=standing.name.lower(),
                share=round(share, 2),
            )
