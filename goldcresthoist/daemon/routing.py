"""Routing of callers' requests to upstreams."""

import asyncio
import itertools
import os
from time import monotonic

from goldcresthoist.callers import BadRequest, CallerError, Refusal
from goldcresthoist.config.model import Read
from goldcresthoist.daemon.call_head import fingerprint, read_head, split_target
from goldcresthoist.daemon.kinds import KEYED
from goldcresthoist.daemon.routed_call import RoutedCall
from goldcresthoist.daemon.routes import ServiceRoute

__all__ = ["CallRouter"]

PREFIX_BYTES = 64 * 1024
RESERVED_PREFIX = "/-/"


class CallRouter:
    """Handles requests of callers.

    Parameters
    ----------
    member : Member
        The own daemon.
    directory
        Has ``members_of(service) -> list[Member]``.
    configurations
        Has ``service(name) -> ServiceConfiguration | None``.
    chooser : Chooser
        Chooses upstreams and keeps what is known of them.
    make_budget : callable
        ``make_budget(configuration)`` returns a `RetryBudget`.
    links : LinkPool
        Links to other daemons.
    server : CallServer
        Runs calls at the own upstream.
    counters
        Has ``add(name, amount=1, **labels)``.
    reserved : coroutine function, optional
        ``reserved(service, request, exchange)`` answers the paths below
        ``/<service>/-/``.
    """

    def __init__(
        self,
        member,
        directory,
        configurations,
        chooser,
        make_budget,
        links,
        server,
        counters,
        reserved=None,
    ):
        self.instance = member.instance
        self.failure_domain = member.failure_domain
        self.region = member.region
        self.directory = directory
        self.configurations = configurations
        self.chooser = chooser
        self.make_budget = make_budget
        self.links = links
        self.server = server
        self.counters = counters
        self.reserved = reserved
        self.routes = {}
        self.ready = True
        self.loop = asyncio.get_running_loop()
        self.request_prefix = f"{self.instance}-{os.urandom(4).hex()}-".encode()
        self.request_numbers = itertools.count(1)

    async def handle(self, request, exchange):
        """Answer one request of a caller."""
        try:
            await self._route(request, exchange)
        except CallerError as exc:
            if exchange.started:
                exchange.abort()
            else:
                exchange.keep_alive = False
                self.refuse(exchange, exc.code, str(exc))

    def refuse(self, exchange, code, message, retry_after_ms=0):
        """Answer a request that did not run."""
        self.answer(exchange, Refusal(code, message, retry_after_ms=retry_after_ms))

    def answer(self, exchange, refusal):
        """Answer with a refusal and count it."""
        self.counters.add("refusals", code=refusal.code)
        exchange.answer(refusal)

    def new_request_id(self):
        """Return an identifier that is unique over all daemons."""
        return self.request_prefix + b"%x" % next(self.request_numbers)

    async def _route(self, request, exchange):
        service, target = split_target(request.target)
        if not self.ready:
            message = "the daemon has no configuration yet"
            self.refuse(exchange, "not-ready", message, 1000)
            return
        configuration = self.configurations.service(service)
        if configuration is None:
            self.refuse(exchange, "unknown-service", f"no service {service!r}")
            return
        if target.startswith(RESERVED_PREFIX) and self.reserved is not None:
            await self.reserved(service, request, exchange)
            return
        rule = _find_rule(configuration, request.method, target)
        if rule is None:
            message = f"no work of {service} for {request.method} {target}"
            self.refuse(exchange, "unknown-work", message)
            return
        head = read_head(request, self.new_request_id)
        if isinstance(rule.kind, KEYED) and not head.key:
            message = f"work {rule.name} needs an Idempotency-Key header"
            self.refuse(exchange, "key-required", message)
            return
        route = self._route_to(service, configuration)
        await self._run(request, exchange, route, rule, head, target)

    async def _run(self, request, exchange, route, rule, head, target):
        deadline = monotonic() + (head.deadline_s or rule.longest_s)
        call = RoutedCall(self, route, rule, request, exchange, deadline)
        call.target = target
        call.headers = head.headers
        call.key = head.key
        try:
            await self._read_prefix(call)
            await call.run()
        except TimeoutError:
            call.on_deadline()

    async def _read_prefix(self, call):
        request = call.request
        if request.body.exhausted:
            call.body_complete = True
        else:
            call.exchange.allow_body()
            async with asyncio.timeout_at(call.deadline):
                call.prefix = await request.body.read_up_to(PREFIX_BYTES)
            call.body_complete = request.body.exhausted
        call.fingerprint = fingerprint(
            call.route.name,
            request.method,
            call.target,
            request.content_length,
            call.prefix,
        )

    def _route_to(self, service, configuration):
        route = self.routes.get(service)
        if route is None:
            route = self.routes[service] = ServiceRoute(service, self)
        route.apply(configuration)
        return route


def _find_rule(configuration, method, target):
    path = target.partition("?")[0]
    if ".." in path:
        # Prefixes of work must not be left by a path that climbs.
        raise BadRequest("the path must not contain '..'")
    rule = configuration.rule_for(method, path)
    if rule is None and method == "HEAD":
        rule = configuration.rule_for("GET", path)
        if rule is not None and not isinstance(rule.kind, Read):
            rule = None
    return rule
