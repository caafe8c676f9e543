"""Compares the order of calls with and without workspaces at one upstream.

``python -m goldcresthoist.bench.scheduling`` prints the shares of calls that were
served, by kind of work and by workspace. Both orders get loads of the same
distribution. Without workspaces, the queue does not learn their names.
"""

import asyncio

from goldcresthoist.bench.queue_load import Kind, QueueLoad

__all__ = ["GROUPS", "make_records_kinds", "share_of_group"]

# Workspaces of the banking deployment: shares fall with rank to the power 1.2.
WORKSPACES = {f"w{rank}": rank**-1.2 for rank in range(1, 81)}
GROUPS = {
    "largest": range(1, 2),
    "rank 2 to 10": range(2, 11),
    "rank 11 to 80": range(11, 81),
}
# Priorities of statement-archive, loan-summary and member-profile; 0 is the first.
PRIORITIES = (202, 101, 101)
# Five slots, of which long work uses three quarters, as it does not start in slow
# phases. The usual load of one upstream is 1.056 of them.
CAPACITY = 3.75
USUAL_LOAD = 1.056
DURATION_S = 300.0
SEEDS = (3, 4, 5)


def make_records_kinds(overload, flood=1.0, priorities=PRIORITIES):
    """Return the work of one upstream of the records service.

    Parameters
    ----------
    overload : float
        Offered load relative to the capacity, without the flood.
    flood : float
        Factor by which the largest workspace exceeds its usual load.
    priorities : tuple of int
        Combined priorities of the three kinds of work.
    """
    factor = overload * CAPACITY / USUAL_LOAD
    usual = sum(WORKSPACES.values())
    shares = WORKSPACES | {"w1": flood}
    added = sum(shares.values()) / usual
    archive, loan, member = priorities
    return (
        Kind(
            "statement-archive",
            *(0.3, 1.506, 3.011, 3.0 * factor * added),
            shares,
            (archive,),
        ),
        Kind(
            "loan-summary",
            *(0.048, 0.156, 0.622, 2.05 * factor * added),
            shares,
            (loan,),
        ),
        Kind("member-profile", 0.03, 0.123, 0.411, 1.91 * factor, {}, (member,)),
    )


def share_of_group(load, group):
    """Return the share of the calls of a group of workspaces that was served."""
    names = {f"w{rank}" for rank in GROUPS[group]}
    return load.share("served", workspaces=names)


async def measure(name, kinds):
    """Print the shares of all seeds together, with and without workspaces."""
    for fair in (False, True):
        loads = [QueueLoad(kinds, seed, fair=fair) for seed in SEEDS]
        for load in loads:
            load.run(DURATION_S)
            loads[0].counts.update(load.counts if load is not loads[0] else {})
        total = loads[0]
        shares = [total.share("served", kind=kind.name) for kind in kinds]
        shares += [total.share("timely", kind=kind.name) for kind in kinds]
        shares += [share_of_group(total, group) for group in GROUPS]
        cells = " | ".join(f"{share:.2f}" for share in shares)
        print(f"| {name} | {'on' if fair else 'off'} | {cells} |")


async def main():
    """Print a table."""
    kinds = [kind.name for kind in make_records_kinds(1.0)]
    titles = [
        f"{kind}, {outcome}" for outcome in ("served", "timely") for kind in kinds
    ]
    print("| load | workspaces | " + " | ".join([*titles, *GROUPS]) + " |")
    print("|" + "---|" * (len(titles) + len(GROUPS) + 2))
    await measure("0.56 of the capacity", make_records_kinds(0.56))
    await measure("1.6", make_records_kinds(1.6))
    await measure("1.6, one priority", make_records_kinds(1.6, priorities=(101,) * 3))
    urgent_archive = make_records_kinds(1.6, priorities=(101, 202, 303))
    await measure("1.6, archive first", urgent_archive)
    await measure("0.56, w1 sends 7.5 times", make_records_kinds(0.56, flood=7.5))


if __name__ == "__main__":
    asyncio.run(main())
