"""Percentiles and added work of hedges at several limits, with synthetic latencies.

Run with ``python -m goldcresthoist.bench.hedging``. The decisions are those of the
daemon: `HedgeLimit`, `aim_delay_s` and `SharedRetryBudget`. The latencies are drawn
from a seeded generator and are the same in all runs. There is no queue and no network:
each hedge finds a free slot, so the figures show the decisions, not a deployment.
"""

import random
from dataclasses import dataclass

from goldcresthoist.balance import (
    HedgeDecision,
    HedgeLimit,
    HedgeSettings,
    SharedRetryBudget,
    aim_delay_s,
)
from goldcresthoist.config.model import Read, WorkRule

__all__ = ["Measurement", "measure"]

SEED = 20261206
REQUESTS = 200_000
LIMITS = (None, 0.0, 0.02, 0.05, 0.1)
# The largest kind of work of the banking deployment in `docs/design/demands.md`, of
# which each of 75 daemons receives 2.8 requests a second. Times are in seconds.
RULE = WorkRule("balance-view", "", "", Read(), 0.12, 1.521, 1.0)
AIM_S = 0.406
DAEMONS = 75
INTERVAL_S = DAEMONS / 210.0
RETRY_SHARE = 0.2
RETRY_RESERVE = 50.0
# Work is lognormal around the usual time, and takes `SLOW_RATIO` times as long in a
# slow phase.
SPREAD = 0.25
SLOW_RATIO = 7.0
# Shares of the copies that run in a slow phase: a quarter when upstreams are chosen
# without knowledge of their pace, and 4 in 100 when calls start on a pace sample that
# is at most 60 ms old (`balance/slots.py`).
SLOW_SHARES = {"chosen without pace": 0.25, "chosen by pace": 0.04}


@dataclass(frozen=True, slots=True)
class Measurement:
    """Result of one run.

    Attributes
    ----------
    median_s, p99_s, p999_s : float
        Percentiles of the response times in seconds. The deadline does not cut them.
    hedge_share : float
        Hedges per request.
    added_work : float
        Time that hedges ran until one copy had ended, per time of the first copies
        without hedges.
    """

    median_s: float
    p99_s: float
    p999_s: float
    hedge_share: float
    added_work: float


def draw_latencies(slow_share, requests=REQUESTS, seed=SEED):
    """Return the latencies in seconds of the first and the second copy of requests.

    Parameters
    ----------
    slow_share : float
        Share of the copies that run in a slow phase.
    requests, seed : int
    """
    source = random.Random(seed)

    def draw():
        work_s = RULE.usual_s * source.lognormvariate(0.0, SPREAD)
        return work_s * (SLOW_RATIO if source.random() < slow_share else 1.0)

    return [(draw(), draw()) for _ in range(requests)]


def measure(share, latencies):
    """Return the `Measurement` of one limit.

    Parameters
    ----------
    share : float or None
        Limit of the operator; 0 for hedges without it, after a share of the aim; None
        for no hedges.
    latencies : list of (float, float)
        See `draw_latencies`.
    """
    limit = HedgeLimit.from_settings(HedgeSettings(share or 0.0))
    budget = SharedRetryBudget(RETRY_SHARE, RETRY_RESERVE)
    budget.set_daemon_count(DAEMONS)
    responses = []
    hedges = 0
    added_s = 0.0
    for index, (first_s, second_s) in enumerate(latencies):
        now = index * INTERVAL_S
        budget.record_request()
        if limit is not None:
            limit.record_request("accounts", True, now)
            delay_s = limit.delay_s(RULE)
        else:
            delay_s = aim_delay_s(AIM_S, RULE.usual_s)
        response_s = first_s
        is_due = share is not None and first_s > delay_s
        if is_due and _may_send(limit, budget, now, delay_s):
            hedges += 1
            response_s = min(first_s, delay_s + second_s)
            added_s += response_s - delay_s
        responses.append(response_s)
        if limit is not None:
            limit.record_latency(RULE, response_s)
    responses.sort()
    work_s = sum(first_s for first_s, _ in latencies)
    return Measurement(
        *(responses[int(part * len(responses))] for part in (0.5, 0.99, 0.999)),
        hedges / len(responses),
        added_s / work_s,
    )


def _may_send(limit, budget, now, delay_s):
    """Take the tokens of a hedge; return whether it may be sent."""
    if limit is not None:
        deadline = now + RULE.longest_s
        decision = limit.decide("accounts", RULE.usual_s, deadline, now + delay_s)
        if decision is not HedgeDecision.SEND:
            return False
    if budget.try_take_for_hedge():
        return True
    if limit is not None:
        limit.refund()
    return False


def main():
    """Print one table for each way to choose upstreams."""
    print(f"{REQUESTS} requests, seed {SEED}, times in ms")
    for name, slow_share in SLOW_SHARES.items():
        latencies = draw_latencies(slow_share)
        print(f"\n{name}: {slow_share:.0%} of the copies run in a slow phase")
        print("limit    50th    99th  99.9th  hedges  added work")
        for share in LIMITS:
            found = measure(share, latencies)
            label = "none" if share is None else f"{share:.2f}"
            print(
                f"{label:>5}  {found.median_s * 1e3:6.0f}  {found.p99_s * 1e3:6.0f}"
                f"  {found.p999_s * 1e3:6.0f}  {found.hedge_share:6.2%}"
                f"  {found.added_work:10.2%}"
            )


if __name__ == "__main__":
    main()
