"""Identity of the daemon processes that own operations."""

from goldcresthoist.gossip.member import MemberState

__all__ = ["OwnerCheck", "owner_name"]

# A member raises its incarnation by one to refute a suspicion, whereas a restarted
# member uses the current time in milliseconds. A gap above this limit therefore shows
# that the member was restarted.
MIN_RESTART_INCARNATION_GAP = 1000


def owner_name(instance, incarnation):
    """Return the name of one daemon process: its instance and first incarnation."""
    return f"{instance}/{incarnation}"


class OwnerCheck:
    """Checks in the membership whether the process of an owner has ended.

    A daemon behind a network partition also appears dead. The check therefore only
    decides whether the result of an operation is reported as unknown; it never allows
    the operation to run again.

    Parameters
    ----------
    membership : Membership
    """

    def __init__(self, membership):
        self.membership = membership

    def __call__(self, owner):
        """Return whether the process of ``owner`` is regarded as ended."""
        instance, _, started = owner.rpartition("/")
        member = self.membership.member(instance)
        if member is None or member.state in (MemberState.DEAD, MemberState.LEFT):
            return True
        return member.incarnation > int(started) + MIN_RESTART_INCARNATION_GAP
