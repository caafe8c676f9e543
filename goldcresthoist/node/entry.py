"""Entry point of requests from callers and from the local upstream."""

import asyncio

import msgspec

from goldcresthoist.balance import ClientRetries
from goldcresthoist.callers import CallerError
from goldcresthoist.clock import monotonic
from goldcresthoist.deadlines import deadline_at
from goldcresthoist.http_fields import requested_host
from goldcresthoist.node.request import EntryRequest
from goldcresthoist.platform.fields import parse_request_fields, refusal_headers
from goldcresthoist.quotas import OverQuota
from goldcresthoist.workspaces import Identified, Rejected

__all__ = ["EntryServer"]

# Time for which callers are assumed to wait when their request has no deadline field.
DEFAULT_WAIT_S = 30.0
# Retry-After of requests that arrive before the first configuration or while the daemon
# is stopping.
NOT_READY_RETRY_S = 0.3


class EntryServer:
    """Matches requests to routes, enforces their limits and sends the responses.

    Parameters
    ----------
    services : FleetServices
    watch : ConfigurationWatch
        Provides the current `RoutingTable`.
    server : UpstreamServer
        Takes the calls that are sent to the local upstream.
    hedging : Hedging
        Sends the hedges of the requests.
    caller_service : str
        Service on this instance. It is sent to upstreams as the service of the caller.
    counters, log, transfers
        See `UpstreamServer`.
    quotas : QuotaService

    Attributes
    ----------
    in_progress : int
        Number of requests that are being handled.
    client_retries : ClientRetries
        Recognizes requests that callers repeat.
    """

    def __init__(
        self,
        services,
        watch,
        server,
        hedging,
        caller_service,
        counters,
        log,
        transfers,
        quotas,
    ):
        self.services = services
        self.watch = watch
        self.server = server
        self.hedging = hedging
        self.caller_service = caller_service.encode()
        self.counters = counters
        self.log = log
        self.transfers = transfers
        self.quotas = quotas
        self.loop = asyncio.get_running_loop()
        self.client_retries = ClientRetries()
        self.in_progress = 0
        # `StopDeadlines` while the daemon stops.
        self.stop = None
        # `deadline_at` of each request in progress.
        self.deadlines = set()

    def start_stopping(self, stop):
        """Refuse and end requests from now on as these `StopDeadlines` say."""
        self.stop = stop
        for item in self.deadlines:
            item.advance(stop.cut_off_at)

    @property
    def chooser(self):
        """The chooser to which `Attempt` reports the start and end of calls."""
        return self.services.chooser

    def runs_beside(self, request):
        """Return whether a request may run while others of its connection do.

        Requests of a `Download` route run alone, although they may be repeated: one
        that waits for its turn would keep its slot and its transfer memory.
        """
        table = self.watch.table
        route = None if table is None else _matching_route(table, request)
        return route is not None and route.repeatable and not route.large_responses

    async def handle(self, request, exchange):
        """Handle one request of a caller until its response is sent."""
        fields = parse_request_fields(request.headers)
        table = self.watch.table
        if table is None:
            self.refuse(
                exchange, 503, "not-ready", fields.request_id, NOT_READY_RETRY_S
            )
            return
        route = _matching_route(table, request)
        if route is None:
            self.refuse(exchange, 404, "unknown-route", fields.request_id)
            return
        workspace = None
        if table.workspaces is not None:
            match table.workspaces.identify(fields.key, route.public):
                case Identified(workspace=workspace):
                    pass
                case Rejected():
                    self.refuse(exchange, 401, "unknown-key", fields.request_id)
                    return
        length = request.content_length
        if length is not None and length > table.limits.max_body_bytes:
            self.refuse(exchange, 413, "body-too-large", fields.request_id)
            return
        wait_s = DEFAULT_WAIT_S if fields.wait_s is None else fields.wait_s
        # The request may have arrived during a pause of this process.
        wait_s -= self.server.pauses.input_age_s()
        if wait_s <= 0.0:
            self.refuse(exchange, 503, "deadline", fields.request_id)
            return
        now = monotonic()
        deadline = now + min(wait_s, route.timeout_s)
        if self.stop is not None and not self.stop.accepts_request(now, deadline):
            exchange.keep_alive = False
            self.refuse(exchange, 503, "stopping", fields.request_id, NOT_READY_RETRY_S)
            return
        # Requests on public routes count towards no quota.
        counted = None if route.public else workspace
        self.in_progress += 1
        try:
            verdict = await self.quotas.decide(counted)
            if isinstance(verdict, OverQuota):
                retry_s = verdict.retry_after_s
                self.refuse(exchange, 429, "over-quota", fields.request_id, retry_s)
                return
            wait_s -= monotonic() - now
            entry_request = EntryRequest(
                self, route, table, request, exchange, fields, wait_s, workspace
            )
            await self._run(entry_request)
        finally:
            self.in_progress -= 1

    async def _run(self, entry_request):
        """Run a request until its response is sent or its deadline has passed."""
        limit = deadline_at(entry_request.deadline)
        try:
            async with limit:
                self.deadlines.add(limit)
                if self.stop is not None:
                    limit.advance(self.stop.cut_off_at)
                await entry_request.run()
        except TimeoutError:
            entry_request.on_deadline()
        except CallerError as exc:
            entry_request.on_caller_error(exc)
        finally:
            self.deadlines.discard(limit)
            entry_request.finish()

    def refuse(self, exchange, status, code, request_id, retry_after_s=0.0):
        """Send a response with an error of the daemon itself.

        A response that has already started is aborted instead.

        Parameters
        ----------
        exchange
            The exchange with the caller.
        status : int
            HTTP status.
        code : str
            Reason in the JSON body, and the ``code`` label in the metrics.
        request_id : bytes or None
        retry_after_s : float
            Time in seconds after which the caller may repeat the request; with 0 there
            is no ``Retry-After`` header.
        """
        if exchange.finished or exchange.connection.closed:
            return
        if exchange.started:
            exchange.abort()
            return
        self.counters.add("answers", status=str(status), code=code)
        if exchange.request_body is not None and not exchange.request_body.ended:
            exchange.keep_alive = False
        body = msgspec.json.encode({"code": code})
        headers = refusal_headers(request_id, retry_after_s)
        exchange.start(status, headers, body, True)


def _matching_route(table, request):
    path = request.target.partition("?")[0]
    return table.route_for(requested_host(request.headers), path)
