"""Quotas of workspaces over all daemons of a fleet.

`QuotaCounter` counts, `QuotaAdmission` decides about the requests of one daemon, and
`TimeShare` allots the time of one daemon to the counters. These and `MemberOrder` have
no I/O. `QuotaService` carries their messages. docs/design/quotas.md has the reasons.
"""

from goldcresthoist.quotas.admission import (
    Admitted,
    OverQuota,
    QuotaAdmission,
    Waiting,
)
from goldcresthoist.quotas.counter import QuotaCounter
from goldcresthoist.quotas.limits import QuotaLimits
from goldcresthoist.quotas.order import MemberOrder
from goldcresthoist.quotas.service import QuotaService
from goldcresthoist.quotas.time_share import TimeShare

__all__ = [
    "Admitted",
    "MemberOrder",
    "OverQuota",
    "QuotaAdmission",
    "QuotaCounter",
    "QuotaLimits",
    "QuotaService",
    "TimeShare",
    "Waiting",
]
