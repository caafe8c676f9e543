"""Comparison of the responses under the default and the naive policy."""

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
    """Guards against a balancing policy that changes the responses to callers.

    A policy may only affect timing and the choice of the upstream. The same random
    calls, among them invalid ones, are sent under both policies. One node starts to
    drain after half of the calls.
    """

    async def test_policies_give_the_same_responses(self):
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
            method, target, headers, body = _random_call(rng, number)
            answer = await caller.call(method, target, headers, body)
            answers.append(_comparable(answer))
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


def _random_call(rng, number):
    """Return method, target, headers and body of one random call."""
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


def _comparable(answer):
    """Return the parts of a response that must not depend on the policy.

    They are the status, the refusal code and the body, without fields that depend on
    the upstream that handled the call.
    """
    body = answer.body
    if answer.status == 200 and body.startswith(b'{"method"'):
        document = answer.json()
        body = (document["method"], document["target"], document["received"])
    elif answer.code is not None:
        document = answer.json()
        body = (document["outcome"], document["scope"])
    return answer.status, answer.code, body
