"""Exceptions of the balance package."""

__all__ = [
    "AdmissionRefused",
    "BalanceError",
    "Draining",
    "InvalidHedgeShare",
    "Saturated",
    "UnknownPolicy",
    "WarmingUp",
]


class BalanceError(Exception):
    """Base class of all exceptions of this package."""


class UnknownPolicy(BalanceError):
    """No policy has the given name."""


class InvalidHedgeShare(BalanceError):
    """The operator's limit on hedges is not valid."""


class AdmissionRefused(BalanceError):
    """The call was not started and holds no slot."""


class Saturated(AdmissionRefused):
    """The expected wait for a slot is too long.

    Parameters
    ----------
    retry_after_s : float
        Seconds after which a slot is likely to be free.
    """

    def __init__(self, retry_after_s):
        super().__init__(f"no slot expected to be free within {retry_after_s:.3f} s")
        self.retry_after_s = retry_after_s


class WarmingUp(Saturated):
    """The upstream warms up, and the call cannot start in time from its place.

    Its parameter is that of `Saturated`: the time until the call could start.
    """


class Draining(AdmissionRefused):
    """The upstream accepts no new calls because it is about to stop."""

    def __init__(self):
        super().__init__("upstream is draining")
