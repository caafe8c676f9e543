"""Virtual time, a simulated network and clusters of memberships for tests."""

import asyncio
import functools
import random
import selectors

from goldcresthoist.config import split_address
from goldcresthoist.gossip import Member, Membership, MemberState
from goldcresthoist.gossip.exchange import format_address

SHARED_KEY = bytes(range(32))
LATENCY_S = 0.001
WALL_CLOCK_START_S = 1_700_000_000.0


class _VirtualSelector(selectors.SelectSelector):
    """Advances the loop's clock to the next timer instead of waiting."""

    loop = None

    def select(self, timeout=None):
        """Return ready events; without any, advance the clock by the timeout."""
        events = super().select(0)
        if not events and timeout is None:
            raise RuntimeError("deadlock: no event is ready and no timer is scheduled")
        if not events:
            self.loop.virtual_time += timeout
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock only advances when no callback is ready."""

    def __init__(self):
        selector = _VirtualSelector()
        selector.loop = self
        self.virtual_time = 1000.0
        super().__init__(selector)

    def time(self):
        """Return the virtual time in seconds."""
        return self.virtual_time

    def jump(self, seconds):
        """Advance the clock at once, as if the process had been suspended."""
        self.virtual_time += seconds


def virtual_time(test):
    """Run an async test method in virtual time with a fixed seed."""

    @functools.wraps(test)
    def run(self):
        random.seed(20_000)
        loop = VirtualLoop()
        try:
            loop.run_until_complete(test(self))
        finally:
            _cancel_all(loop)
            loop.close()

    return run


def _cancel_all(loop):
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))


def make_member(name="a", number=1, domain="d1", service="s", incarnation=1):
    """Return a member with addresses derived from its number."""
    host = f"10.0.{number // 250}.{number % 250 + 1}"
    ports = (f"{host}:7001", f"{host}:7002", f"{host}:7003")
    region = domain.partition("-")[0]
    return Member(name, incarnation, service, domain, region, *ports, MemberState.ALIVE)


class FakeTransport(asyncio.DatagramTransport):
    """Transport that sends datagrams over a `FakeNetwork`."""

    def __init__(self, network, address):
        super().__init__()
        self.network = network
        self.address = address
        self.closed = False

    def sendto(self, data, addr=None):
        """Send a datagram."""
        self.network.send(self.address, format_address(addr), data)

    def is_closing(self):
        """Return whether the transport was closed."""
        return self.closed

    def close(self):
        """Detach from the network."""
        self.closed = True
        self.network.protocols.pop(self.address, None)


class FakeNetwork:
    """Delivers datagrams after a fixed latency, unless their path is blocked."""

    def __init__(self):
        self.protocols = {}
        self.blocked = set()
        self.sent = []
        self.record = False
        self.bytes = 0

    def attach(self, membership):
        """Connect a membership to this network."""
        exchange = membership.exchange
        self.protocols[exchange.address] = exchange
        exchange.connection_made(FakeTransport(self, exchange.address))

    def send(self, source, destination, data):
        """Schedule the delivery of a datagram."""
        self.bytes += len(data)
        if self.record:
            self.sent.append((source, destination, data))
        if (source, destination) not in self.blocked:
            loop = asyncio.get_running_loop()
            loop.call_later(LATENCY_S, self.deliver, source, destination, data)

    def deliver(self, source, destination, data):
        """Deliver a datagram immediately."""
        if protocol := self.protocols.get(destination):
            protocol.datagram_received(data, split_address(source))

    def block(self, sources, destinations):
        """Drop datagrams from any of the sources to any of the destinations."""
        for source in sources:
            self.blocked |= {(_address(source), _address(d)) for d in destinations}

    def cut(self, one_side, other_side):
        """Drop datagrams between two groups in both directions."""
        self.block(one_side, other_side)
        self.block(other_side, one_side)

    def heal(self):
        """Remove all blocks."""
        self.blocked.clear()


def _address(membership):
    return membership.exchange.address


class Cluster:
    """Memberships that share one `FakeNetwork` and one wall clock."""

    def __init__(self, options=None):
        self.options = options
        self.network = FakeNetwork()
        self.nodes = {}
        self.numbers = {}
        self.wall_clock_s = WALL_CLOCK_START_S

    async def add(self, name, domain="d1", service="s", incarnation=1, peers=None):
        """Start a membership that joins through ``peers``, by default all others.

        With empty ``peers``, it does not join.
        """
        number = self.numbers.setdefault(name, len(self.numbers) + 1)
        member = make_member(name, number, domain, service, incarnation)
        node = Membership(
            member, SHARED_KEY, self.options, wall_clock=lambda: self.wall_clock_s
        )
        if peers is None:
            peers = [_address(other) for other in self.nodes.values()]
        self.nodes[name] = node
        self.network.attach(node)
        await node.start()
        if peers:
            node.join(peers)
        return node

    async def add_many(self, count, domain="d1", service="s"):
        """Start several memberships of one domain and wait 15 s for convergence."""
        added = [
            await self.add(f"{domain}-{service}-{n}", domain, service)
            for n in range(count)
        ]
        await asyncio.sleep(15)
        return added

    async def kill(self, name):
        """Stop a membership without announcing it."""
        await self.nodes.pop(name).close()

    def states_of(self, name):
        """Return the set of states in which the other nodes hold a member.

        The set contains None if a node does not know the member.
        """
        others = [node for other, node in self.nodes.items() if other != name]
        members = [node.member(name) for node in others]
        return {None if member is None else member.state for member in members}

    def all_alive(self):
        """Return whether every node holds every other node as alive."""
        states = [self.states_of(name) for name in self.nodes]
        return all(found == {MemberState.ALIVE} for found in states)


async def until(condition, limit_s=60.0):
    """Wait until a condition holds; return the elapsed virtual time in seconds."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    while not condition():
        if loop.time() - started > limit_s:
            raise AssertionError(f"condition not met within {limit_s} s")
        await asyncio.sleep(0.05)
    return loop.time() - started
