"""Limits on extra calls and on the cost of load measurement."""

from goldcresthoist.balance.policy import Default, Naive

__all__ = ["ProbeBudget", "RetryBudget"]

# Retries that a daemon may make before it has seen calls, so that the first failure
# after a start can be retried.
INITIAL_RETRIES = 2.0
# Unused retries are kept up to this number. A larger one lets a daemon with few calls
# spend the savings of quiet minutes within seconds: with 20, retries reached 13% of
# calls in a swing of the benchmark.
MAX_SAVED_RETRIES = 2.0
# Calls that end together with their upstream or its daemon are retried from a reserve
# of their own: with two saved retries, reads that a crash cut off were not answered.
# The reserve covers the slots and part of the queue of one upstream. Together with the
# usual 8%, its refill stays under 10% of calls.
CRASH_RESERVE = 24.0
CRASH_REFILL_SHARE = 0.015
# Unused measuring budget is kept for this many probes.
PROBE_BURST = 4


class RetryBudget:
    """Token bucket that limits retries and hedges to a share of calls.

    Parameters
    ----------
    share : float
        Share of calls, from 0 to 1, for retries and hedges together.
    hedge_share : float
        Share of calls that may be hedges.
    limited : bool
        False for a policy without limits; calls are still counted.
    """

    def __init__(self, share, hedge_share, limited=True):
        self.share = share
        self.hedge_share = min(hedge_share, share)
        self.limited = limited
        self.tokens = INITIAL_RETRIES
        self.hedge_tokens = 0.0
        self.crash_tokens = CRASH_RESERVE
        self.calls = 0
        self.retries = 0
        self.hedges = 0

    @classmethod
    def from_configuration(cls, configuration, policy):
        """Make the budget of one service."""
        match policy:
            case Naive():
                return cls(configuration.retry_share, 0.0, limited=False)
            case Default():
                return cls(configuration.retry_share, configuration.hedge_share)

    def record_call(self):
        """Count a call of a caller, not a retry or hedge."""
        self.calls += 1
        self.tokens = min(MAX_SAVED_RETRIES, self.tokens + self.share)
        self.crash_tokens = min(CRASH_RESERVE, self.crash_tokens + CRASH_REFILL_SHARE)
        self.hedge_tokens = min(MAX_SAVED_RETRIES, self.hedge_tokens + self.hedge_share)

    def try_retry(self):
        """Take the allowance for one retry; return whether there is one."""
        if self.limited:
            if self.tokens < 1.0:
                return False
            self.tokens -= 1.0
        self.retries += 1
        return True

    def try_retry_lost(self):
        """Take the allowance to retry a call that was cut off by a crash."""
        if self.limited and self.crash_tokens >= 1.0:
            self.crash_tokens -= 1.0
            self.retries += 1
            return True
        return self.try_retry()

    def try_hedge(self):
        """Take the allowance for one hedge; return whether there is one."""
        if self.tokens < 1.0 or self.hedge_tokens < 1.0:
            return False
        self.tokens -= 1.0
        self.hedge_tokens -= 1.0
        self.hedges += 1
        return True


class ProbeBudget:
    """Limits active load measurement to a share of bytes and of processor time.

    Only calls earn budget, so the share holds in every phase. Unused budget is kept for
    a few probes at most; otherwise savings of a calm phase would be spent at a peak.

    Parameters
    ----------
    share : float
        Share, from 0 to 1, of the bytes and of the processor time of calls.
    """

    def __init__(self, share):
        self.share = share
        self.bytes_left = 0.0
        self.cpu_left_s = 0.0
        self.probe_bytes = 0
        self.probe_cpu_s = 0.0
        self.refused = 0
        self._largest_bytes = 0
        self._largest_cpu_s = 0.0

    def record_calls(self, size, cpu_s):
        """Earn budget from bytes and processor seconds spent on calls."""
        self.bytes_left += size * self.share
        self.cpu_left_s += cpu_s * self.share

    def try_probe(self, size, cpu_s):
        """Take the expected cost of one probe; return whether it may be sent."""
        self._largest_bytes = max(self._largest_bytes, size)
        self._largest_cpu_s = max(self._largest_cpu_s, cpu_s)
        self._cap()
        if self.bytes_left < size or self.cpu_left_s < cpu_s:
            self.refused += 1
            return False
        self._spend(size, cpu_s)
        return True

    def correct(self, size, cpu_s):
        """Charge what a probe cost beyond its expected cost (may be negative)."""
        self._spend(size, cpu_s)

    def _spend(self, size, cpu_s):
        self.bytes_left -= size
        self.cpu_left_s -= cpu_s
        self.probe_bytes += size
        self.probe_cpu_s += cpu_s

    def _cap(self):
        self.bytes_left = min(self.bytes_left, PROBE_BURST * self._largest_bytes)
        self.cpu_left_s = min(self.cpu_left_s, PROBE_BURST * self._largest_cpu_s)
