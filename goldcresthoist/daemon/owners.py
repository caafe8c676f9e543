"""Names of the processes that own operations."""

from goldcresthoist.gossip.member import MemberState

__all__ = ["OwnerCheck", "owner_name"]

# A member that refutes a suspicion raises its incarnation by one, while one that
# starts again takes the time in milliseconds.
RESTART_GAP = 1000


def owner_name(instance, incarnation):
    """Return the name of one process of a daemon."""
    return f"{instance}/{incarnation}"


class OwnerCheck:
    """Tells from the membership whether an owner's process has ended.

    A daemon that is cut off looks dead, too. The answer is only used to tell a caller
    or an operator that the result of an operation is not known, never to run it again.

    Parameters
    ----------
    membership : Membership
    """

    def __init__(self, membership):
        self.membership = membership

    def __call__(self, owner):
        """Return whether the process is gone as far as this daemon knows."""
        instance, _, started = owner.rpartition("/")
        member = self.membership.member(instance)
        if member is None or member.state in (MemberState.DEAD, MemberState.LEFT):
            return True
        return member.incarnation > int(started) + RESTART_GAP
