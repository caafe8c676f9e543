"""A few real daemons that stand for a large fleet, in virtual time.

Each real daemon (*representative*) holds the complete member table. A datagram or a
call to any member is delivered to the representative of that member's failure domain
that stands for it. Every representative therefore sends and receives what one daemon
of the large fleet would. What needs all daemons together, namely that each lost
member is probed once a second by someone, is fed in by the model.
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
SERVICES_SHARE = 3700 / 20_000
LATENCY_S = 0.02
# A probe and its indirect probes have to time out before a member is suspected.
PROBE_LIMIT_S = 1.0
# Time for which the model lets daemons notice that members do not answer.
FEED_S = 300.0


def domain_name(number):
    """Return the name of a failure domain: ``"r<region>-d<number>"``."""
    return f"r{number % REGIONS}-d{number}"


def make_fleet_member(number, members):
    """Return one of the members of the modelled fleet."""
    domain = number % DOMAINS
    services = max(1, int(members * SERVICES_SHARE))
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
    """The fake network of the representatives.

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
        self.all = [Representative(self, self.members[n]) for n in range(count)]
        self.by_domain = {}
        for rep in self.all:
            self.by_domain.setdefault(rep.domain, []).append(rep)
        self.domain_at = {m.gossip_address: m.failure_domain for m in self.members}
        own = {rep.membership.exchange.address: rep for rep in self.all}
        self.stands_for = {
            m.gossip_address: own.get(m.gossip_address) or self._stand_in(m)
            for m in self.members
        }
        self.lost = set()
        self.sides = {}
        self.restarts = set()
        self.protocols = {}
        # Processor time that stands for other daemons' work, not for a real one's.
        self.overhead_s = 0.0

    async def start(self):
        """Fill the tables and start the representatives."""
        records = [MemberRecord.from_member(member) for member in self.members]
        for rep in self.all:
            rep.fill(records)
            exchange = rep.membership.exchange
            exchange.connection_made(FakeTransport(self, exchange.address))
        for rep in self.all:
            rep.membership.subscribe(partial(self.refute, rep))
            await rep.start()

    def add_newcomer(self):
        """Return a new daemon that knows nobody."""
        member = make_fleet_member(len(self.members), len(self.members))
        rep = Representative(self, member)
        rep.sync.first_done.clear()
        self.domain_at[member.gossip_address] = member.failure_domain
        self.stands_for[member.gossip_address] = rep
        return rep

    def representative(self, address):
        """Return the daemon that stands for the member at an address."""
        return self.stands_for[address]

    def _stand_in(self, member):
        reps = self.by_domain[member.failure_domain]
        return reps[zlib.crc32(member.instance.encode()) % len(reps)]

    def reachable(self, source, address):
        """Return whether a daemon can reach an address."""
        domain = self.domain_at[address]
        if domain in self.lost or source.domain in self.lost:
            return False
        return self.sides.get(domain) == self.sides.get(source.domain)

    def send(self, source, destination, data):
        """Schedule the delivery of a datagram."""
        loop = asyncio.get_running_loop()
        loop.call_later(LATENCY_S, self._deliver, source, destination, data)

    def _deliver(self, source, destination, data):
        sender = self.representative(source)
        if not self.reachable(sender, destination):
            return
        exchange = self.representative(destination).membership.exchange
        own, exchange.address = exchange.address, destination
        exchange.datagram_received(data, split_address(source))
        exchange.address = own

    def live(self):
        """Return the representatives that run."""
        return [rep for rep in self.all if rep.domain not in self.lost]

    def lose(self, domains):
        """Stop all daemons of some domains, and feed in that others notice."""
        self.lost |= set(domains)
        for rep in self.all:
            if rep.domain in self.lost:
                rep.membership.pause()
                for task in rep.tasks:
                    task.cancel()
        self.feed_suspicions(self.live(), domains)

    def cut(self, domains):
        """Cut some domains off, and feed in what both sides notice."""
        self.sides = dict.fromkeys(domains, 1)
        inner = [rep for rep in self.all if rep.domain in self.sides]
        outer = [rep for rep in self.all if rep.domain not in self.sides]
        others = {rep.domain for rep in outer}
        self.feed_suspicions(outer, domains)
        self.feed_suspicions(inner, others)

    def feed_suspicions(self, observers, domains):
        """Let random observers suspect the members of some domains.

        Each member of a fleet is probed by one other one a second on average; here by
        those that are among the observers.
        """
        domains = set(domains)
        rate = len({rep.domain for rep in observers}) / DOMAINS
        for member in self.members:
            if member.failure_domain in domains:
                delay = random.expovariate(rate) + PROBE_LIMIT_S
                self._later(delay, observers, member.instance, rate, FEED_S)

    def _later(self, delay, *args):
        asyncio.get_running_loop().call_later(delay, self._suspect, delay, *args)

    def _suspect(self, delay, observers, instance, rate, left):
        view = random.choice(observers).membership.view
        slot = view.roster.slot_of(instance)
        if slot is not None and view.roster.states[slot] < MemberState.SUSPECT:
            view.suspect(slot)
        if left > delay:
            self._later(
                random.expovariate(rate), observers, instance, rate, left - delay
            )

    def refute(self, rep, member):
        """Let a member that is up refute what its representative hears of it."""
        accused = member.state in (MemberState.SUSPECT, MemberState.DEAD)
        if not accused or self.stands_for[member.gossip_address] is not rep:
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
        """Reconnect all domains, and feed in what all daemons' dead probes discover."""
        self.sides = {}
        options = self.all[0].membership.options
        others = len(self.members) / len(self.all)
        while True:
            await asyncio.sleep(1.0)
            for rep in self.live():
                view = rep.membership.view
                for slot in self._probed(view, options, others):
                    self._discover(view, slot)

    def _probed(self, view, options, others):
        """Return the dead slots that the daemons like this one probe in a second."""
        started = time.process_time()
        expected = others * min(1.0, dead_probes_per_s(view, options))
        slots = [choose_dead(view) for _ in range(int(expected + random.random()))]
        self.overhead_s += time.process_time() - started
        return slots

    def _discover(self, view, slot):
        """Let a member that is up refute a dead probe."""
        if slot is None:
            return
        accusation = view.roster.update_of(slot)
        member = view.roster.member(slot)
        if member.failure_domain in self.lost:
            return
        answer = accusation._replace(
            incarnation=accusation.incarnation + 1, state=MemberState.ALIVE
        )
        self.stands_for[member.gossip_address].membership.view.apply_state(answer)
        view.apply_state(answer)

    async def churn(self, restarts_per_day):
        """Restart members at random, each with a drain, a leave and a return."""
        while True:
            await asyncio.sleep(random.expovariate(restarts_per_day / 86_400))
            member = random.choice(self.members[len(self.all) :] or self.members)
            task = asyncio.get_running_loop().create_task(self._restart(member))
            self.restarts.add(task)
            task.add_done_callback(self.restarts.discard)

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
        """Put new versions in force at random daemons."""
        number = dict.fromkeys(teams, 0)
        while True:
            await asyncio.sleep(random.expovariate(changes_per_day / 86_400))
            team = random.choice(list(teams))
            number[team] += 1
            rep = random.choice(self.live())
            rep.fetcher.put(team, number[team], teams[team])
