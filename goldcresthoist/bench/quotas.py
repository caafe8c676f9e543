"""Compares quotas that are counted over all daemons with fixed shares, and with none.

One workspace sends through 75 daemons in virtual time: its usual load for 14 s, then
7.5 times of it for 6 s. Its quota is 1.6 times the usual load, at least 5 a second.
``python -m goldcresthoist.bench.quotas`` prints a line for each load and scheme, and
then the effect of faults during the burst. The same code prints the same figures; the
times and losses of messages are those of `QuotaFleet`, without a network.
"""

import random
from dataclasses import dataclass

from goldcresthoist.bench.quota_fleet import LIMITS, QuotaFleet, largest_window
from goldcresthoist.workspaces import Workspace

__all__ = ["Result", "main", "measure_counted", "measure_fixed", "measure_unlimited"]

DAEMONS = 75
LOADS_PER_S = (1.0, 10.0, 1000.0)
MIN_QUOTA_PER_S = 5.0
QUOTA_FACTOR = 1.6
BURST_FACTOR = 7.5
USUAL_S = 14.0
BURST_S = 6.0
# Time after the start of the fleet in which counters do not use full buckets yet.
START_S = 8.0
SEED = 7
# Load of the largest workspace of the larger deployment, for the runs with faults.
FAULT_LOAD_PER_S = 118.0
FAULT_AFTER_S = 2.0


@dataclass(frozen=True, slots=True)
class Result:
    """Figures of one run.

    Attributes
    ----------
    usual, usual_refused : int
        Requests in the time of the usual load, and those of them that were refused.
    start_refused : int
        Those that were refused in the first `START_S`.
    window : int
        Largest number of requests that ran in a window of the bound.
    messages_per_s : float
        Datagrams of the whole fleet.
    """

    usual: int
    usual_refused: int
    start_refused: int
    window: int
    messages_per_s: float

    def text(self, workspace):
        """Return the figures and their relation to the quota of a workspace."""
        quota = workspace.rate_per_s * LIMITS.window_s + workspace.burst
        bound = LIMITS.bound(workspace)
        return (
            f"below quota {self.usual:6} requests {self.usual_refused:5} refused, "
            f"{self.start_refused} of them after the start; "
            f"in a burst {self.window:6} ran in a window, quota {quota:6.0f}, "
            f"beyond it {max(0.0, self.window - quota):6.0f}, "
            f"beyond the bound {max(0.0, self.window - bound):6.0f}; "
            f"{self.messages_per_s:6.1f} messages/s"
        )


def make_workspace(load_per_s):
    """Return a workspace with a quota for this usual load; its burst is that of 1 s."""
    rate_per_s = max(MIN_QUOTA_PER_S, QUOTA_FACTOR * load_per_s)
    return Workspace("acme", (), None, rate_per_s, rate_per_s)


def arrivals(load_per_s):
    """Return time in seconds and daemon of each request."""
    rng = random.Random(SEED)
    found, time = [], 0.0
    while True:
        per_s = load_per_s * (1.0 if time < USUAL_S else BURST_FACTOR)
        time += rng.expovariate(per_s)
        if time >= USUAL_S + BURST_S:
            return found
        found.append((time, rng.randrange(DAEMONS)))


def measure_unlimited(load_per_s):
    """Return the `Result` without quotas."""
    times = [time for time, _ in arrivals(load_per_s)]
    return Result(
        sum(time < USUAL_S for time in times), 0, 0, largest_window(times), 0.0
    )


def measure_fixed(load_per_s):
    """Return the `Result` with a bucket at each daemon, of its share of the quota.

    A bucket holds at least one token, as it would admit no request otherwise.
    """
    workspace = make_workspace(load_per_s)
    rate_per_s = workspace.rate_per_s / DAEMONS
    capacity = max(1.0, workspace.burst / DAEMONS)
    buckets = [(capacity, 0.0)] * DAEMONS
    ran, refused, usual = [], [], 0
    for time, daemon in arrivals(load_per_s):
        tokens, since = buckets[daemon]
        tokens = min(capacity, tokens + rate_per_s * (time - since))
        usual += time < USUAL_S
        if tokens >= 1.0:
            tokens -= 1.0
            ran.append(time)
        else:
            refused.append(time)
        buckets[daemon] = tokens, time
    return Result(usual, *_count_refused(refused), largest_window(ran), 0.0)


def measure_counted(load_per_s, fault=None):
    """Return the `Result` of the daemons' own quotas.

    Parameters
    ----------
    load_per_s : float
        Usual load.
    fault : callable, optional
        ``fault(fleet)`` is called `FAULT_AFTER_S` after the start of the burst.
    """
    workspace = make_workspace(load_per_s)
    fleet = QuotaFleet(DAEMONS, workspace.rate_per_s, workspace.burst, seed=SEED)
    started = fleet.now
    usual = 0
    for time, daemon in arrivals(load_per_s):
        usual += time < USUAL_S
        fleet.at(started + time, fleet.request, fleet.ips[daemon])
    if fault is not None:
        fleet.at(started + USUAL_S + FAULT_AFTER_S, fault, fleet)
    fleet.run_until(started + USUAL_S + BURST_S + 0.5)
    refused = _count_refused([time - started for time, _ in fleet.refused])
    messages_per_s = sum(fleet.sent.values()) / (USUAL_S + BURST_S)
    return Result(usual, *refused, largest_window(fleet.ran), messages_per_s)


def _count_refused(times):
    """Return the refusals below the quota, and those in `START_S`."""
    return sum(time < USUAL_S for time in times), sum(time < START_S for time in times)


def kill_counter(fleet):
    """Kill the daemon that counts."""
    fleet.kill(fleet.counters()[0])


def kill_third(fleet):
    """Kill the daemon that counts and 24 others."""
    counters = fleet.counters()
    for ip in [counters[0], *[ip for ip in fleet.ips if ip not in counters][:24]]:
        fleet.kill(ip)


def restart_all(fleet):
    """Kill all daemons and start them at once."""
    for ip in fleet.ips:
        fleet.kill(ip)
        fleet.start(ip)


def partition(fleet):
    """Cut the daemon that counts and half of the others off from the rest."""
    counters = fleet.counters()
    others = [ip for ip in fleet.ips if ip not in counters]
    fleet.isolate([counters[0], *others[:36]])


def cut_all(fleet):
    """Cut all daemons off from one another."""
    for ip in fleet.ips:
        fleet.isolate([ip])


def main():
    """Print the comparison."""
    schemes = {
        "none": measure_unlimited,
        "fixed shares": measure_fixed,
        "counted": measure_counted,
    }
    for load_per_s in LOADS_PER_S:
        for name, measure in schemes.items():
            text = measure(load_per_s).text(make_workspace(load_per_s))
            print(f"{load_per_s:6.0f}/s {name:12}: {text}")
    for fault in (kill_counter, kill_third, restart_all, partition, cut_all):
        text = measure_counted(FAULT_LOAD_PER_S, fault)
        text = text.text(make_workspace(FAULT_LOAD_PER_S))
        print(f"{FAULT_LOAD_PER_S:6.0f}/s {fault.__name__:12}: {text}")


if __name__ == "__main__":
    main()
