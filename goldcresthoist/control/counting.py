"""Count of the daemons in a failure domain that have a version in force."""

import asyncio
from dataclasses import dataclass

__all__ = ["DaemonCounts", "count_domain"]

MAX_CONCURRENT_QUERIES = 64
QUERY_TIMEOUT_S = 0.5


@dataclass(frozen=True, slots=True)
class DaemonCounts:
    """Number of daemons that have the version, have an older one, or did not answer."""

    in_force: int
    behind: int
    silent: int


async def count_domain(membership, team, version, limit_s):
    """Count the daemons of the own failure domain that have a version in force.

    Each member is queried over UDP, repeatedly until it has the version in force or
    the time limit is reached.

    Parameters
    ----------
    membership : Membership
    team : str
    version : int
    limit_s : float
        Time limit in seconds, after which the latest answers are counted.

    Returns
    -------
    DaemonCounts
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + limit_s
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)
    domain = membership.view.record.failure_domain
    members = membership.members_in(domain)

    async def query_until_current(member):
        answer = None
        while loop.time() < deadline:
            async with semaphore:
                reported = await membership.query_version(member, team, QUERY_TIMEOUT_S)
            answer = answer if reported is None else reported
            if answer is not None and answer >= version:
                break
            await asyncio.sleep(min(QUERY_TIMEOUT_S, deadline - loop.time()))
        return answer

    versions = await asyncio.gather(
        *(query_until_current(member) for member in members)
    )
    versions.append(membership.versions.version_of(team))
    in_force = sum(answer is not None and answer >= version for answer in versions)
    silent = sum(answer is None for answer in versions)
    return DaemonCounts(in_force, len(versions) - in_force - silent, silent)
