"""Operator's limit on hedges, and when a hedge is sent under it.

The operator sets the limit as a share of the requests that may be repeated. Without it,
hedges are sent after a share of the route's ``aim_s``; see `aim_delay_s`.
"""

import enum
import math
from dataclasses import dataclass

from goldcresthoist.balance.errors import InvalidHedgeShare
from goldcresthoist.balance.hedging import HedgeTimer

__all__ = [
    "SHARE_VARIABLE",
    "HedgeDecision",
    "HedgeLimit",
    "HedgeSettings",
    "aim_delay_s",
]

SHARE_VARIABLE = "GOLDCRESTHOIST_HEDGE_SHARE"
MAX_SHARE = 0.5
# Delay of a hedge without the operator's limit: this share of the route's ``aim_s``,
# but at least `AIM_DELAY_RATIO` times the usual time of the work.
AIM_DELAY_SHARE = 0.45
AIM_DELAY_RATIO = 1.3
# Largest number of tokens. A quiet time saves up no more hedges than this.
TOKEN_CAPACITY = 2.0
# A service counts as overloaded while the recent refusals by its nearly full upstreams
# exceed this share of the recent requests plus `REFUSAL_SLACK`. A single refusal at a
# daemon with few requests stops hedges for up to a half-life.
REFUSAL_SHARE = 0.25
REFUSAL_SLACK = 0.5
# An upstream is nearly full when at least this share of its slots is in use. Serving
# daemons also refuse requests in a slow phase, while slots are free; that is a reason
# for a hedge and no sign of overload.
NEARLY_FULL_SHARE = 0.8
# Half-life of both counts, in seconds.
REFUSAL_HALF_LIFE_S = 1.0


def aim_delay_s(aim_s, usual_s):
    """Return the delay in seconds of a hedge without the operator's limit.

    Parameters
    ----------
    aim_s : float
        Time in seconds within which a response of the route has its full value.
    usual_s : float
        Usual time of the work in seconds.
    """
    return max(AIM_DELAY_SHARE * aim_s, AIM_DELAY_RATIO * usual_s)


@dataclass(frozen=True, slots=True)
class HedgeSettings:
    """Settings of the operator for hedges.

    Attributes
    ----------
    share : float
        Hedges allowed per repeatable request, from 0 to `MAX_SHARE`; 0 for no limit of
        the operator.
    """

    share: float = 0.0

    @classmethod
    def from_environment(cls, environment):
        """Read the share from a mapping of environment variables.

        Raises
        ------
        InvalidHedgeShare
            When the value is not a number from 0 to `MAX_SHARE`. The error names the
            variable, the value and what is allowed.
        """
        text = environment.get(SHARE_VARIABLE)
        if text is None:
            return cls()
        try:
            share = float(text)
        except ValueError:
            share = math.nan
        # The comparison is false for NaN.
        if not 0.0 <= share <= MAX_SHARE:
            raise InvalidHedgeShare(
                f"{SHARE_VARIABLE} is {text!r}, expected a number from 0 to {MAX_SHARE}"
            )
        return cls(share)


class HedgeDecision(enum.Enum):
    """Whether a hedge may be sent; the values are labels of a metric."""

    SEND = "send"
    # A copy could not end before the deadline.
    TOO_LATE = "too-late"
    # Nearly full upstreams of the service have recently refused requests.
    OVERLOADED = "overloaded"
    # The operator's limit is used up.
    LIMIT = "limit"


class _RecentCounts:
    """Decaying counts of the requests to one service and of their refusals."""

    __slots__ = ("refusals", "requests", "updated_at")

    def __init__(self, now):
        self.requests = 0.0
        self.refusals = 0.0
        self.updated_at = now

    def advance(self, now):
        """Reduce both counts according to the time since the last update."""
        decay = 0.5 ** (max(0.0, now - self.updated_at) / REFUSAL_HALF_LIFE_S)
        self.requests *= decay
        self.refusals *= decay
        self.updated_at = now


class HedgeLimit:
    """Decides when one entry daemon sends hedges, and how many.

    Each repeatable request adds `share` tokens, and each hedge takes one. The bucket is
    empty at the start, so there are never more hedges than `share` times the requests.

    Parameters
    ----------
    share : float
        Hedges allowed per repeatable request; above 0.

    Attributes
    ----------
    tokens : float
        Content of the bucket, at most `TOKEN_CAPACITY`.
    timer : HedgeTimer
        Recent latencies of each route.
    """

    def __init__(self, share):
        self.share = share
        self.tokens = 0.0
        self.timer = HedgeTimer()
        self._recent = {}

    @classmethod
    def from_settings(cls, settings):
        """Return the limit of these `HedgeSettings`, or None when they set none."""
        return cls(settings.share) if settings.share > 0.0 else None

    def record_request(self, service, repeatable, now):
        """Count a request to a service; ``now`` is in monotonic seconds."""
        self._counts(service, now).requests += 1.0
        if repeatable:
            self.tokens = min(TOKEN_CAPACITY, self.tokens + self.share)

    def record_latency(self, rule, latency_s):
        """Record the latency, in seconds, of a request of the route of this rule.

        When a hedge was sent, the latency counts from the start of the first copy.
        Otherwise the delay would become shorter with each hedge that succeeds.
        """
        self.timer.record(rule, latency_s)

    def record_refusal(self, service, load, now):
        """Count a refusal of a first copy if its upstream is nearly full.

        Parameters
        ----------
        service : str
        load : LoadReport or None
            Load in the refusal. Without it the upstream is taken to be full.
        now : float
            Monotonic seconds.
        """
        if load is None or load.in_flight >= int(NEARLY_FULL_SHARE * load.slots):
            self._counts(service, now).refusals += 1.0

    def delay_s(self, rule):
        """Return the delay in seconds after which a request may be hedged."""
        return self.timer.delay_s(rule)

    def is_overloaded(self, service, now):
        """Return whether nearly full upstreams have recently refused many requests."""
        counts = self._counts(service, now)
        return counts.refusals > REFUSAL_SHARE * counts.requests + REFUSAL_SLACK

    def decide(self, service, usual_s, deadline, now):
        """Decide on a hedge, and take its token if it may be sent.

        Parameters
        ----------
        service : str
        usual_s : float
            Usual time of the work in seconds.
        deadline : float
            Monotonic time at which the caller gets an error instead.
        now : float
            Monotonic seconds.

        Returns
        -------
        HedgeDecision
        """
        if now + usual_s > deadline:
            return HedgeDecision.TOO_LATE
        if self.is_overloaded(service, now):
            return HedgeDecision.OVERLOADED
        if self.tokens < 1.0:
            return HedgeDecision.LIMIT
        self.tokens -= 1.0
        return HedgeDecision.SEND

    def refund(self):
        """Put back the token of a hedge that reached no upstream."""
        self.tokens = min(TOKEN_CAPACITY, self.tokens + 1.0)

    def keep_routes(self, names):
        """Discard the latencies of all routes but those of these names."""
        self.timer.keep(names)

    def _counts(self, service, now):
        found = self._recent.get(service)
        if found is None:
            found = self._recent[service] = _RecentCounts(now)
        found.advance(now)
        return found
