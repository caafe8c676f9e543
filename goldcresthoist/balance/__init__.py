"""Load balancing: selection of upstreams, admission control, retries and hedging.

Objects of this package keep their state in memory only and read no clock. The current
time is passed to their methods in monotonic seconds.

An entry daemon receives requests from callers and uses `Chooser` or `LatencyChooser` to
select an upstream. The serving daemon, which runs on the instance of that upstream,
uses `Admission` or `SlotQueue` to start the call, queue it or refuse it, and sends load
reports with the responses. The upstream on a daemon's own instance is its local
upstream. The `WorkRule` that matches a request gives the kind of work of the call and
its usual processing time.
"""

from goldcresthoist.balance.admission import Admission, Slot
from goldcresthoist.balance.budgets import ProbeBudget, RetryBudget
from goldcresthoist.balance.chooser import Chooser
from goldcresthoist.balance.client_retries import ClientRetries
from goldcresthoist.balance.errors import (
    AdmissionRefused,
    BalanceError,
    Draining,
    InvalidHedgeShare,
    Saturated,
    UnknownPolicy,
    WarmingUp,
)
from goldcresthoist.balance.health import UpstreamHealth
from goldcresthoist.balance.hedge_limit import (
    HedgeDecision,
    HedgeLimit,
    HedgeSettings,
    aim_delay_s,
)
from goldcresthoist.balance.hedging import HedgeTimer
from goldcresthoist.balance.latency_chooser import LatencyChooser
from goldcresthoist.balance.pace import PaceEstimator
from goldcresthoist.balance.policy import Default, Naive, Policy, get_policy
from goldcresthoist.balance.rate_limit import RateLimit
from goldcresthoist.balance.shared_budget import SharedRetryBudget
from goldcresthoist.balance.slot_calls import SlotCall
from goldcresthoist.balance.slots import SlotQueue
from goldcresthoist.balance.subset import UpstreamSubset
from goldcresthoist.balance.suspects import CrashSuspects, SuspectRecord
from goldcresthoist.balance.views import Outcome, UpstreamPool, UpstreamView
from goldcresthoist.balance.warm_up import WarmUp

__all__ = [
    "Admission",
    "AdmissionRefused",
    "BalanceError",
    "Chooser",
    "ClientRetries",
    "CrashSuspects",
    "Default",
    "Draining",
    "HedgeDecision",
    "HedgeLimit",
    "HedgeSettings",
    "HedgeTimer",
    "InvalidHedgeShare",
    "LatencyChooser",
    "Naive",
    "Outcome",
    "PaceEstimator",
    "Policy",
    "ProbeBudget",
    "RateLimit",
    "RetryBudget",
    "Saturated",
    "SharedRetryBudget",
    "Slot",
    "SlotCall",
    "SlotQueue",
    "SuspectRecord",
    "UnknownPolicy",
    "UpstreamHealth",
    "UpstreamPool",
    "UpstreamSubset",
    "UpstreamView",
    "WarmUp",
    "WarmingUp",
    "aim_delay_s",
    "get_policy",
]
