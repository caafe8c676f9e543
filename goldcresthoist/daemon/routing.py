"""Routing of callers' requests to upstreams."""

import asyncio
import itertools
import os

from goldcresthoist.callers import CallerError, Outcome, Refusal
from goldcresthoist.clock import monotonic
from goldcresthoist.config.model import Upload
from goldcresthoist.daemon.kinds import KEYED_KINDS
from goldcresthoist.daemon.refusals import outcome_after_failure
from goldcresthoist.daemon.request_matching import find_rule, split_target
from goldcresthoist.daemon.routed_call import MAX_RETRY_BODY_BYTES, RoutedCall
from goldcresthoist.daemon.routes import ServiceRoute

__all__ = ["CallRouter"]

# Requests to paths below ``/<service>/-/`` are handled by the daemon itself.
RESERVED_SEGMENT = "/-/"
_STATUS_CLASSES = {2: "2xx", 3: "3xx", 4: "4xx", 5: "5xx"}


class CallRouter:
    """Handles requests of callers at the entry daemon.

    Parameters
    ----------
    member : Member
        Member record of this daemon.
    directory
        Has ``members_of(service) -> list[Member]``.
    configurations
        Has ``service(name) -> ServiceConfiguration | None``.
    chooser : Chooser
        Chooses upstreams and records their load and results.
    make_budget : callable
        ``make_budget(configuration)`` returns a `RetryBudget`.
    links : LinkPool
        Links to other daemons.
    server : CallServer
        Runs calls at the local upstream.
    counters
        Has ``add(name, amount=1, **labels)`` and ``observe(name, seconds, **labels)``.
    operation_paths : OperationPaths, optional
        Handles the paths below ``/<service>/-/``.
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
        operation_paths=None,
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
        self.operation_paths = operation_paths
        # An `UploadHandler`. It needs this router and is therefore set later.
        self.uploads = None
        # The `ServiceRoute` of each service that was called, by service name.
        self.routes = {}
        # While this is false, every request is refused with the code ``not-ready``.
        self.ready = True
        self.loop = asyncio.get_running_loop()
        self.request_id_prefix = f"{self.instance}-{os.urandom(4).hex()}-".encode()
        self.request_numbers = itertools.count(1)

    def begin(self, request, exchange):
        """Start a request whose body was received completely, without a task switch.

        The `RoutedCall` is passed on to `handle` in ``exchange.begin_result``.
        """
        if RESERVED_SEGMENT in request.target:
            return
        try:
            call = self._route_request(request, exchange)
        except CallerError as exc:
            self._refuse_invalid(exchange, exc)
            return
        exchange.begin_result = call
        if call is None or self._is_upload(call):
            return
        if request.body.size <= MAX_RETRY_BODY_BYTES:
            call.take_complete_body()
            call.send_first_attempt()

    async def handle(self, request, exchange):
        """Handle one request of a caller until its response is sent."""
        if exchange.finished:
            return
        call = exchange.begin_result
        exchange.begin_result = None
        try:
            if RESERVED_SEGMENT in request.target and self.operation_paths is not None:
                if await self._handle_operation_path(request, exchange):
                    return
            if call is None:
                call = self._route_request(request, exchange)
            if call is None:
                return
            if self._is_upload(call):
                await self.uploads.handle(call)
            else:
                if not request.body.exhausted:
                    await call.buffer_body_prefix()
                await call.run()
            self._record_call(call)
        except TimeoutError:
            call.on_deadline()
            self._record_call(call)
        except CallerError as exc:
            self._refuse_invalid(exchange, exc, call)

    def refuse(self, exchange, code, message, retry_after_ms=0):
        """Send a refusal that states that the request did not run.

        Parameters
        ----------
        exchange : Exchange
        code, message : str
        retry_after_ms : int
            Time after which the caller should retry; 0 if none is recommended.
        """
        self.answer(exchange, Refusal(code, message, retry_after_ms=retry_after_ms))

    def answer(self, exchange, refusal):
        """Send a refusal and count it."""
        self.counters.add("refusals", code=refusal.code)
        exchange.answer(refusal)

    def new_request_id(self):
        """Return a request identifier that is unique among all daemons."""
        return self.request_id_prefix + b"%x" % next(self.request_numbers)

    async def _handle_operation_path(self, request, exchange):
        """Handle a request for a path below ``/<service>/-/``.

        Returns whether the path was one; if not, the request is routed as usual.
        """
        service, target = split_target(request.target)
        if not target.startswith(RESERVED_SEGMENT) or not self.ready:
            return False
        if self.configurations.service(service) is None:
            return False
        await self.operation_paths.handle(self, service, target, request, exchange)
        return True

    def _is_upload(self, call):
        return self.uploads is not None and isinstance(call.rule.kind, Upload)

    def _refuse_invalid(self, exchange, error, call=None):
        """Refuse an invalid request, or abort its response if that has started.

        ``call`` is the `RoutedCall` of a request whose body turned out to be invalid.
        """
        if exchange.started:
            exchange.abort()
            return
        exchange.keep_alive = False
        outcome = Outcome.NOT_RUN
        if call is not None and call.started:
            outcome = outcome_after_failure(call.rule.kind)
        self.answer(exchange, Refusal(error.code, str(error), outcome))

    def _record_call(self, call):
        rule = call.rule
        self.counters.add(
            "calls",
            service=call.route.name,
            work=rule.name,
            status=_STATUS_CLASSES.get(call.exchange.status // 100, "other"),
        )
        self.counters.observe(
            "call_seconds", monotonic() - call.started_at, work=rule.name
        )

    def _route_request(self, request, exchange):
        """Return the call for a request, or None when the request is refused."""
        service, target = split_target(request.target)
        if not self.ready:
            message = "the daemon has not loaded a configuration yet"
            return self.refuse(exchange, "not-ready", message, 1000)
        configuration = self.configurations.service(service)
        if configuration is None:
            return self.refuse(exchange, "unknown-service", f"no service {service!r}")
        rule = find_rule(configuration, request.method, target)
        if rule is None:
            message = f"no rule of service {service} matches {request.method} {target}"
            return self.refuse(exchange, "unknown-work", message)
        if not request.key and isinstance(rule.kind, KEYED_KINDS):
            message = f"work {rule.name} requires an Idempotency-Key header"
            return self.refuse(exchange, "key-required", message)
        route = self.routes.get(service)
        if route is None:
            route = self.routes[service] = ServiceRoute(service, self)
        route.apply(configuration)
        return RoutedCall(self, route, rule, request, exchange, target)
