"""The default policy and the naive one give callers the same answers."""

import random

import msgspec

from goldcresthoist.daemon.tests.builders import RoutingCase, lookup_service
from goldcresthoist.tests.cluster import stop_standin
from goldcresthoist.tests.fakes import FakeLedger
from goldcresthoist.tests.pathnode import PathNode
from goldcresthoist.tests.processes import make_member, make_plan
from goldcresthoist.tests.standins.upstream import UpstreamStandIn

SEED = 17
CALLS = 150
KEYS = 6


class DifferentialTest(RoutingCase):
    """Guards against a policy that changes what callers are told.

    The same calls, with an upstream that answers wrongly and one that drains, go
    through both policies; apart from timing and choice of upstream the answers agree.
    """

    async def test_same_calls_same_answers(self):
        answers = {policy: await self._run(policy) for policy in ("naive", "default")}
        self.assertEqual(answers["naive"], answers["default"])
        statuses = {answer[0] for answer in answers["naive"]}
        self.assertLessEqual({200, 400, 404, 409}, statuses)

    async def _run(self, policy):
        nodes = await self._start(policy)
        caller = await self.caller(nodes[0])
        rng = random.Random(SEED)
        answers = []
        for number in range(CALLS):
            if number == CALLS // 2:
                nodes[1].start_draining()
            method, target, headers, body = _draw(rng, number)
            answer = await caller.call(method, target, headers, body)
            answers.append(_essence(answer))
        return answers

    async def _start(self, policy):
        ledger = FakeLedger()
        names = [("front", "front")] + [(f"lookup-{n}", "lookup") for n in range(3)]
        members = [make_member(name, service) for name, service in names]
        nodes = []
        for member in members:
            standin = UpstreamStandIn()
            port = await standin.listen("127.0.0.1", 0)
            self.addAsyncCleanup(stop_standin, standin)
            plan = make_plan(member, port, members, [lookup_service(retry_share=1.0)])
            plan = msgspec.structs.replace(plan, policy=policy)
            node = PathNode(plan, ledger=ledger)
            await node.start()
            self.addAsyncCleanup(node.close)
            nodes.append(node)
        return nodes


def _draw(rng, number):
    """Return method, target, headers and body of one call."""
    body = rng.randbytes(rng.randrange(1, 2000))
    key = f"key-{rng.randrange(KEYS)}"
    calls = (
        ("GET", f"/lookup/items/{number}?size={rng.randrange(5000)}", (), b""),
        ("GET", f"/lookup/items/{number}?ms=2", (), b""),
        ("PUT", f"/lookup/items/{number}?echo=1", (), body),
        ("POST", "/lookup/settle?echo=1", [("Idempotency-Key", key)], key.encode()),
        ("POST", "/lookup/settle?echo=1", [("Idempotency-Key", "key-0")], b"other"),
        ("POST", "/lookup/settle", (), b"no key"),
        ("GET", "/lookup/unknown", (), b""),
        ("GET", "/nowhere/items", (), b""),
    )
    return calls[rng.randrange(len(calls))]


def _essence(answer):
    """Return what must agree: status, code, outcome, and the body without places."""
    body = answer.body
    if answer.status == 200 and body.startswith(b'{"method"'):
        document = answer.json()
        body = (document["method"], document["target"], document["received"])
    elif answer.code is not None:
        document = answer.json()
        body = (document["outcome"], document["scope"])
    return answer.status, answer.code, body
