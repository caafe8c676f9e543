"""Count of the daemons of one failure domain that have a version in force."""

import asyncio
from dataclasses import dataclass

__all__ = ["Counted", "count_domain"]

CONCURRENT_QUERIES = 64
QUERY_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class Counted:
    """Daemons by answer: version in force, an older version, no answer."""

    in_force: int
    behind: int
    silent: int


async def count_domain(membership, team, version, limit_s):
    """Ask all daemons of the own failure domain by UDP, each again until it answers.

    Parameters
    ----------
    membership : Membership
    team : str
    version : int
    limit_s : float
        Time after which daemons that are behind or silent are counted as such.

    Returns
    -------
    Counted
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + limit_s
    gate = asyncio.Semaphore(CONCURRENT_QUERIES)
    domain = membership.view.record.failure_domain
    members = membership.members_in(domain)

    async def ask(member):
        answer = None
        while loop.time() < deadline:
            async with gate:
                found = await membership.query_version(member, team, QUERY_TIMEOUT_S)
            answer = answer if found is None else found
            if answer is not None and answer >= version:
                break
            await asyncio.sleep(min(QUERY_TIMEOUT_S, deadline - loop.time()))
        return answer

    answers = await asyncio.gather(*(ask(member) for member in members))
    answers.append(membership.versions.version_of(team))
    in_force = sum(answer is not None and answer >= version for answer in answers)
    silent = sum(answer is None for answer in answers)
    return Counted(in_force, len(answers) - in_force - silent, silent)
