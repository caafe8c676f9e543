"""Budgets for retries, hedges and load probes."""

from goldcresthoist.balance.policy import Default, Naive

__all__ = ["ProbeBudget", "RetryBudget"]

# Initial number of retry tokens. It allows the first failure after a start to be
# retried, before any calls have earned tokens.
INITIAL_TOKENS = 2.0
# Capacity of the token buckets for retries and hedges. A larger capacity lets a daemon
# with few calls spend the tokens of quiet minutes within seconds: with 20, retries
# reached 13% of calls at a load swing of the benchmark.
TOKEN_CAPACITY = 2.0
# Capacity of a separate token bucket, for calls that are cut off by a crash of their
# upstream or of the serving daemon. It covers the slots and part of the queue of one
# upstream. With only the two tokens of the ordinary bucket, reads that a crash cut off
# got no response.
CRASH_TOKEN_CAPACITY = 24.0
# Tokens that each call adds to the bucket for crashes. Together with the usual retry
# share of 8%, they stay under 10% of calls.
CRASH_TOKENS_PER_CALL = 0.015
# Number of probes for which unused probe budget is kept at most.
PROBE_BURST = 4


class RetryBudget:
    """Token buckets that limit retries and hedges to a share of calls.

    Parameters
    ----------
    share : float
        Limit for retries and hedges together, as a share of calls from 0 to 1.
    hedge_share : float
        Limit for hedges alone, as a share of calls from 0 to 1.
    limited : bool
        False if the policy sets no limits; retries are then only counted.

    Attributes
    ----------
    tokens, hedge_tokens, crash_tokens : float
        Content of the buckets. A retry costs one of ``tokens`` or ``crash_tokens``, and
        a hedge one of ``tokens`` and one of ``hedge_tokens``.
    calls, retries, hedges : int
        Numbers since the start.
    """

    def __init__(self, share, hedge_share, limited=True):
        self.share = share
        self.hedge_share = min(hedge_share, share)
        self.limited = limited
        self.tokens = INITIAL_TOKENS
        self.hedge_tokens = 0.0
        self.crash_tokens = CRASH_TOKEN_CAPACITY
        self.calls = 0
        self.retries = 0
        self.hedges = 0

    @classmethod
    def from_configuration(cls, configuration, policy):
        """Create the budget of one service."""
        match policy:
            case Naive():
                return cls(configuration.retry_share, 0.0, limited=False)
            case Default():
                return cls(configuration.retry_share, configuration.hedge_share)

    def record_call(self):
        """Count an original call, not a retry or hedge, and add its tokens."""
        self.calls += 1
        self.tokens = min(TOKEN_CAPACITY, self.tokens + self.share)
        self.crash_tokens = min(
            CRASH_TOKEN_CAPACITY, self.crash_tokens + CRASH_TOKENS_PER_CALL
        )
        self.hedge_tokens = min(TOKEN_CAPACITY, self.hedge_tokens + self.hedge_share)

    def try_retry(self):
        """Take a token for one retry; return whether there was one."""
        if self.limited:
            if self.tokens < 1.0:
                return False
            self.tokens -= 1.0
        self.retries += 1
        return True

    def try_retry_after_crash(self):
        """Take a token to retry a call that was cut off by a crash.

        It is taken from the bucket for crashes, or from the ordinary one if that is
        empty.

        Returns
        -------
        bool
            Whether the call may be retried.
        """
        if self.limited and self.crash_tokens >= 1.0:
            self.crash_tokens -= 1.0
            self.retries += 1
            return True
        return self.try_retry()

    def try_hedge(self):
        """Take the tokens for one hedge; return whether there were enough."""
        if self.tokens < 1.0 or self.hedge_tokens < 1.0:
            return False
        self.tokens -= 1.0
        self.hedge_tokens -= 1.0
        self.hedges += 1
        return True


class ProbeBudget:
    """Limits load probes to a share of the bytes and of the CPU time of calls.

    Only calls add budget, so the limit holds at any load. Unused budget is kept for a
    few probes only, so that budget from a period of low load is not spent at a peak.

    Parameters
    ----------
    share : float
        Share, from 0 to 1, of the bytes and of the CPU time of calls.

    Attributes
    ----------
    bytes_left, cpu_left_s : float
        Budget for further probes; negative after a probe that cost more than expected.
    probe_bytes, probe_cpu_s : int, float
        Cost of all probes since the start.
    refused : int
        Number of probes that the budget did not allow.
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
        """Add budget for the bytes and the CPU seconds that calls have used."""
        self.bytes_left += size * self.share
        self.cpu_left_s += cpu_s * self.share

    def try_probe(self, size, cpu_s):
        """Charge the expected cost of one probe; return whether it may be sent.

        Parameters
        ----------
        size : int
            Expected bytes.
        cpu_s : float
            Expected CPU seconds.
        """
        self._largest_bytes = max(self._largest_bytes, size)
        self._largest_cpu_s = max(self._largest_cpu_s, cpu_s)
        self._cap()
        if self.bytes_left < size or self.cpu_left_s < cpu_s:
            self.refused += 1
            return False
        self._spend(size, cpu_s)
        return True

    def correct(self, size, cpu_s):
        """Charge the difference between the actual and the expected cost of a probe.

        Parameters
        ----------
        size : int
            Actual minus expected bytes; may be negative.
        cpu_s : float
            Actual minus expected CPU seconds; may be negative.
        """
        self._spend(size, cpu_s)

    def _spend(self, size, cpu_s):
        self.bytes_left -= size
        self.cpu_left_s -= cpu_s
        self.probe_bytes += size
        self.probe_cpu_s += cpu_s

    def _cap(self):
        """Limit the unused budget to the cost of `PROBE_BURST` large probes."""
        self.bytes_left = min(self.bytes_left, PROBE_BURST * self._largest_bytes)
        self.cpu_left_s = min(self.cpu_left_s, PROBE_BURST * self._largest_cpu_s)
