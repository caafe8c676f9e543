"""Record of one daemon in the membership."""

import msgspec

__all__ = ["Member", "MemberState"]


class MemberState:
    """States of a member. Of equal incarnations, the higher state overrides."""

    ALIVE = 0
    DRAINING = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


class Member(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One daemon and the upstream on the same host.

    Addresses have the form ``"ip:port"``. ``incarnation`` increases whenever the daemon
    restarts or refutes a suspicion.
    """

    instance: str
    incarnation: int
    service: str
    failure_domain: str
    region: str
    gossip_address: str
    link_address: str
    control_address: str
    state: int

    def accepts_work(self):
        """Return whether new work may be sent to the upstream of this member."""
        return self.state == MemberState.ALIVE
