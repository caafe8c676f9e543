"""Load-balancing policies, as immutable parameter sets."""

from dataclasses import dataclass

from goldcresthoist.balance.errors import UnknownPolicy

__all__ = ["Default", "Naive", "Policy", "get_policy"]


@dataclass(frozen=True, slots=True)
class Naive:
    """Uniform random selection, a retry after every error, and no limits.

    It is the baseline that other policies are compared with.
    """

    name: str = "naive"


@dataclass(frozen=True, slots=True)
class Default:
    """Power of two random choices by estimated load, with limits.

    Times are in seconds.
    """

    name: str = "default"
    # Load of an upstream, as a share of its slots, above which calls begin to overflow
    # to a farther tier, and load above which all of them do.
    overflow_from_share: float = 0.5
    overflow_all_share: float = 1.05
    # A load report of this age has half of its weight; the mean of the pool has the
    # other half.
    report_half_life_s: float = 0.1
    # An upstream that is more than this many times as slow as the mean of the pool
    # counts as if all of its slots were in use.
    slow_ratio: float = 2.0
    # A slowness measurement of this age has half of its weight; the mean of the pool
    # has the other half.
    slowness_half_life_s: float = 4.0
    # Latencies are capped at this multiple of the usual time, so that a single outlier
    # does not make a healthy upstream look slow.
    slowness_sample_limit: float = 8.0
    # Time in which a new or restored upstream is ramped up to its full share of calls.
    slow_start_s: float = 5.0
    # Number of consecutive failures that eject an upstream.
    failures_to_eject: int = 3
    # Length of the first ejection. It doubles with each failed trial call, up to
    # `ejection_limit_s`.
    ejection_s: float = 1.0
    ejection_limit_s: float = 30.0
    # Share of the slots, from 0 to 1, that long work may use even while short work
    # waits. Without it, short work could keep all slots for itself.
    long_minimum_share: float = 0.25
    # A call is refused when its expected wait is longer than this multiple of its usual
    # time.
    wait_multiple: float = 4.0
    # A short call that runs longer than this multiple of its usual time counts as long.
    short_multiple: float = 4.0


Policy = Naive | Default


def get_policy(name):
    """Return the policy of that name with default parameters.

    Raises
    ------
    UnknownPolicy
        If there is no policy of that name.
    """
    match name:
        case "naive":
            return Naive()
        case "default":
            return Default()
        case _:
            raise UnknownPolicy(f"policy {name!r}: expected 'naive' or 'default'")
