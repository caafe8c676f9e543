"""Model of a large fleet with a few real daemons, in virtual time.

Each real daemon (*representative*) holds the complete member table. Every member of
the fleet is assigned to one of the representatives in its failure domain, which
receives the datagrams and the calls to that member. Each representative therefore
sends and receives as much as one daemon of the large fleet.

The model simulates what depends on the number of all daemons: in the whole fleet, some
daemon probes each lost member once a second on average.
"""

import asyncio
import random
import time
import zlib
from functools import partial

from goldcresthoist.bench._representative import Representative
from goldcresthoist.config import split_address
from goldcresthoist.gossip import Member, MemberState
from goldcresthoist.gossip.messages import MemberRecord
from goldcresthoist.gossip.probing import choose_dead, dead_probes_per_s
from goldcresthoist.gossip.tests.builders import FakeTransport

REGIONS = 10
DOMAINS = 25
SERVICES_PER_MEMBER = 3700 / 20_000
LATENCY_S = 0.02
# A member is suspected only after a probe and its indirect probes timed out.
PROBE_TIMEOUT_S = 1.0
# Time during which daemons raise suspicions of the members that do not answer.
SUSPICION_DURATION_S = 300.0


def domain_name(number):
    """Return the name of a failure domain: ``"r<region>-d<number>"``."""
    return f"r{number % REGIONS}-d{number}"


def make_fleet_member(number, members):
    """Return the member with a number, of a fleet of ``members`` members.

    Services and failure domains are spread evenly over the numbers.
    """
    domain = number % DOMAINS
    services = max(1, int(members * SERVICES_PER_MEMBER))
    host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    return Member(
        f"instance-{number:05d}.example",
        1_700_000_000_000,
        f"service-{number * 7919 % services:04d}",
        domain_name(domain),
        f"r{domain % REGIONS}",
        f"{host}:7946",
        f"{host}:7947",
        f"{host}:7948",
        MemberState.ALIVE,
    )


class FleetModel:
    """The representatives and the simulated network between them.

    Parameters
    ----------
    members : int
        Size of the modelled fleet.
    per_domain : int
        Representatives in each failure domain.
    """

    def __init__(self, members, per_domain=2):
        self.members = [make_fleet_member(n, members) for n in range(members)]
        count = min(members, per_domain * DOMAINS)
        self.representatives = [
            Representative(self, self.members[n]) for n in range(count)
        ]
        self.by_domain = {}
        for rep in self.representatives:
            self.by_domain.setdefault(rep.domain, []).append(rep)
        self.domain_by_address = {
            m.gossip_address: m.failure_domain for m in self.members
        }
        own = {rep.membership.exchange.address: rep for rep in self.representatives}
        self.representative_by_address = {
            m.gossip_address: own.get(m.gossip_address) or self._representative_of(m)
            for m in self.members
        }
        self.lost = set()
        self.partition_by_domain = {}
        self.restart_tasks = set()
        self.protocols = {}
        # Processor time of work that the model does for simulated daemons. It is not
        # part of the cost of the representatives.
        self.overhead_s = 0.0

    async def start(self):
        """Fill the member tables and start the representatives."""
        records = [MemberRecord.from_member(member) for member in self.members]
        for rep in self.representatives:
            rep.fill(records)
            exchange = rep.membership.exchange
            exchange.connection_made(FakeTransport(self, exchange.address))
        for rep in self.representatives:
            rep.membership.subscribe(partial(self.refute, rep))
            await rep.start()

    def add_joining_daemon(self):
        """Add a daemon whose member table is empty, and return it."""
        member = make_fleet_member(len(self.members), len(self.members))
        rep = Representative(self, member)
        rep.sync.first_sync_done.clear()
        self.domain_by_address[member.gossip_address] = member.failure_domain
        self.representative_by_address[member.gossip_address] = rep
        return rep

    def representative(self, address):
        """Return the representative of the member at an address."""
        return self.representative_by_address[address]

    def _representative_of(self, member):
        candidates = self.by_domain[member.failure_domain]
        return candidates[zlib.crc32(member.instance.encode()) % len(candidates)]

    def reachable(self, source, address):
        """Return whether the network delivers from a daemon to an address."""
        domain = self.domain_by_address[address]
        if domain in self.lost or source.domain in self.lost:
            return False
        return self.partition_by_domain.get(domain) == self.partition_by_domain.get(
            source.domain
        )

    def send(self, source, destination, data):
        """Schedule the delivery of a datagram."""
        loop = asyncio.get_running_loop()
        loop.call_later(LATENCY_S, self._deliver, source, destination, data)

    def _deliver(self, source, destination, data):
        sender = self.representative(source)
        if not self.reachable(sender, destination):
            return
        exchange = self.representative(destination).membership.exchange
        # The representative acts under the member's address while it handles this.
        own, exchange.address = exchange.address, destination
        exchange.datagram_received(data, split_address(source))
        exchange.address = own

    def live(self):
        """Return the representatives that are running."""
        return [rep for rep in self.representatives if rep.domain not in self.lost]

    def stop_domains(self, domains):
        """Stop all daemons of some domains and let the others suspect them."""
        self.lost |= set(domains)
        for rep in self.representatives:
            if rep.domain in self.lost:
                rep.membership.pause()
                for task in rep.tasks:
                    task.cancel()
        self.schedule_suspicions(self.live(), domains)

    def cut(self, domains):
        """Partition the network and let both sides suspect each other.

        Some domains are cut off from the remaining ones.
        """
        self.partition_by_domain = dict.fromkeys(domains, 1)
        isolated = [
            rep
            for rep in self.representatives
            if rep.domain in self.partition_by_domain
        ]
        remaining = [
            rep
            for rep in self.representatives
            if rep.domain not in self.partition_by_domain
        ]
        remaining_domains = {rep.domain for rep in remaining}
        self.schedule_suspicions(remaining, domains)
        self.schedule_suspicions(isolated, remaining_domains)

    def schedule_suspicions(self, observers, domains):
        """Let random observers suspect the members of some domains.

        In a fleet, each member is probed once a second on average. Only the probes
        by daemons in the domains of the observers count here.
        """
        domains = set(domains)
        rate = len({rep.domain for rep in observers}) / DOMAINS
        for member in self.members:
            if member.failure_domain in domains:
                delay = random.expovariate(rate) + PROBE_TIMEOUT_S
                self._schedule_suspicion(
                    delay, observers, member.instance, rate, SUSPICION_DURATION_S
                )

    def _schedule_suspicion(self, delay, *args):
        asyncio.get_running_loop().call_later(delay, self._suspect, delay, *args)

    def _suspect(self, delay, observers, instance, rate, remaining_s):
        view = random.choice(observers).membership.view
        slot = view.roster.slot_of(instance)
        if slot is not None and view.roster.states[slot] < MemberState.SUSPECT:
            view.suspect(slot)
        if remaining_s > delay:
            self._schedule_suspicion(
                random.expovariate(rate), observers, instance, rate, remaining_s - delay
            )

    def refute(self, rep, member):
        """Refute the suspicion of a running member that its representative received."""
        refutable = member.state in (MemberState.SUSPECT, MemberState.DEAD)
        if (
            not refutable
            or self.representative_by_address[member.gossip_address] is not rep
        ):
            return
        if member.failure_domain in self.lost:
            return
        slot = rep.membership.view.roster.slot_of(member.instance)
        update = rep.membership.view.roster.update_of(slot)
        answer = update._replace(
            incarnation=update.incarnation + 1, state=MemberState.ALIVE
        )
        asyncio.get_running_loop().call_soon(rep.membership.view.apply_state, answer)

    async def heal(self):
        """End the partition and simulate the probes of dead members by all daemons."""
        self.partition_by_domain = {}
        options = self.representatives[0].membership.options
        daemons_per_representative = len(self.members) / len(self.representatives)
        while True:
            await asyncio.sleep(1.0)
            for rep in self.live():
                view = rep.membership.view
                for slot in self._choose_dead_slots(
                    view, options, daemons_per_representative
                ):
                    self._refute_dead_probe(view, slot)

    def _choose_dead_slots(self, view, options, daemons_per_representative):
        """Return the slots of the dead members that are probed in one second.

        The probes are those of all daemons that one representative stands for.
        """
        started = time.process_time()
        expected = daemons_per_representative * min(
            1.0, dead_probes_per_s(view, options)
        )
        slots = [choose_dead(view) for _ in range(int(expected + random.random()))]
        self.overhead_s += time.process_time() - started
        return slots

    def _refute_dead_probe(self, view, slot):
        """Refute the dead state of a running member, as its answer to a probe would."""
        if slot is None:
            return
        dead_update = view.roster.update_of(slot)
        member = view.roster.member(slot)
        if member.failure_domain in self.lost:
            return
        answer = dead_update._replace(
            incarnation=dead_update.incarnation + 1, state=MemberState.ALIVE
        )
        self.representative_by_address[
            member.gossip_address
        ].membership.view.apply_state(answer)
        view.apply_state(answer)

    async def churn(self, restarts_per_day):
        """Restart random members; each one drains, leaves and joins again."""
        while True:
            await asyncio.sleep(random.expovariate(restarts_per_day / 86_400))
            member = random.choice(
                self.members[len(self.representatives) :] or self.members
            )
            task = asyncio.get_running_loop().create_task(self._restart(member))
            self.restart_tasks.add(task)
            task.add_done_callback(self.restart_tasks.discard)

    async def _restart(self, member):
        rep = self.representative(member.gossip_address)
        view = rep.membership.view
        slot = view.roster.slot_of(member.instance)
        for state in (MemberState.DRAINING, MemberState.LEFT):
            view.apply_state(view.roster.update_of(slot)._replace(state=state))
            await asyncio.sleep(5.0)
        record = MemberRecord.from_member(member)
        incarnation = view.roster.incarnations[slot] + 60_000
        view.apply_member(record.with_state(incarnation, MemberState.ALIVE))
        view._enqueue(slot, full=True)

    async def change_configuration(self, changes_per_day, teams):
        """Put new configuration versions in force, each at a random daemon."""
        versions = dict.fromkeys(teams, 0)
        while True:
            await asyncio.sleep(random.expovariate(changes_per_day / 86_400))
            team = random.choice(list(teams))
            versions[team] += 1
            rep = random.choice(self.live())
            rep.fetcher.put(team, versions[team], teams[team])
