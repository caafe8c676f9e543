"""Request handlers of the HTTP interface for operators."""

import msgspec
from tornado.web import HTTPError, RequestHandler

from goldcresthoist.config import (
    ConfigError,
    ConfigurationConflict,
    Questionnaire,
    generate,
)
from goldcresthoist.operators._text import status_text
from goldcresthoist.operators.authentication import CHALLENGE_HEADER, MAC_HEADER
from goldcresthoist.operators.errors import (
    Conflict,
    InvalidRequest,
    NotFound,
    OperatorsError,
)
from goldcresthoist.operators.model import Settlement
from goldcresthoist.telemetry import log_event

# Error codes of responses to errors that Tornado raises, by HTTP status.
ERROR_CODES = {404: "not-found", 405: "method-not-allowed"}
OUTCOMES = ("ran", "not-run")
MIN_STATUS = 200
MAX_STATUS = 599


class CheckRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a check.

    ``questionnaire`` is the decoded document; ``source`` is its file name, for error
    messages.
    """

    questionnaire: dict
    source: str = "questionnaire"


class ApplyRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of an apply.

    ``expected_version`` is the version that the change was made from.
    """

    questionnaire: dict
    expected_version: int
    author: str
    source: str = "questionnaire"


class Page(RequestHandler):
    """Base class of the handlers. ``context`` is the `OperatorServer`."""

    def initialize(self, context):
        """Store the server, through which handlers reach the services."""
        self.context = context

    def set_default_headers(self):
        """Forbid caching, as responses show the current state."""
        self.set_header("Server", "goldcresthoist")
        self.set_header("Cache-Control", "no-store")

    def compute_etag(self):
        """Return None, as responses are not cached."""
        return None

    def log_exception(self, typ, value, tb):
        """Log unexpected errors in one line; expected ones are only counted."""
        if not isinstance(value, (OperatorsError, HTTPError)):
            log_event("error", "operator request failed", error=value)

    def on_finish(self):
        """Count the request."""
        self.context.counters.add(
            "operator_requests", page=type(self).__name__, status=self.get_status()
        )

    def send(self, document, status=200):
        """Send a JSON response."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(document) + b"\n")

    def send_text(self, text):
        """Send a plain text response."""
        self.set_header("Content-Type", "text/plain; charset=utf-8")
        self.finish(text)

    def write_error(self, status_code, **kwargs):
        """Send an error as JSON with code, message and details."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, OperatorsError):
            self.send(
                {"code": error.code, "message": str(error), "details": error.details},
                error.status,
            )
            return
        code = ERROR_CODES.get(
            status_code, "internal" if status_code >= 500 else "invalid"
        )
        self.send({"code": code, "message": self._reason, "details": ()}, status_code)

    def body(self, type_):
        """Return the decoded JSON body."""
        try:
            return msgspec.json.decode(self.request.body, type=type_)
        except (msgspec.MsgspecError, RecursionError) as exc:
            raise InvalidRequest(f"request body: {exc}") from exc

    def team(self):
        """Return the query parameter ``team``."""
        team = self.get_query_argument("team", "")
        if not team:
            raise InvalidRequest("query parameter team is missing")
        return team

    def authenticate(self):
        """Raise `NotAuthenticated` unless the request carries a valid MAC."""
        request = self.request
        self.context.challenges.verify(
            request.method,
            request.uri,
            request.headers.get(CHALLENGE_HEADER, ""),
            request.headers.get(MAC_HEADER, ""),
            request.body,
        )


class Health(Page):
    """Health check for probes: whether the daemon accepts calls."""

    def get(self):
        """Send status 200 if the daemon is ready, else 503."""
        status = self.context.status.status()
        document = {"ready": status.is_ready(), "state": status.state}
        document["reason"] = status.reason
        self.send(document, 200 if status.is_ready() else 503)


class StatusPage(Page):
    """State of the daemon."""

    def get(self):
        """Send the status as JSON, or as text with ``?format=text``."""
        status = self.context.status.status()
        if self.get_query_argument("format", "json") == "text":
            self.send_text(status_text(status))
        else:
            self.send(status)


class Metrics(Page):
    """Metrics in the Prometheus text format."""

    def get(self):
        """Send all metrics."""
        self.set_header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        self.finish(self.context.counters.text())


class Challenge(Page):
    """Challenges that authenticate requests which make changes."""

    def get(self):
        """Send a new challenge."""
        self.send({"challenge": self.context.challenges.issue()})


class Show(Page):
    """Current configuration of a team."""

    async def get(self):
        """Send the configuration record."""
        self.send(await self.context.configuration.show(self.team()))


class History(Page):
    """Versions of a team's configuration."""

    async def get(self):
        """Send the versions, newest first."""
        entries = await self.context.configuration.history(self.team())
        self.send({"team": self.team(), "entries": entries})


class Check(Page):
    """Validation of a questionnaire without applying it."""

    async def post(self):
        """Send the differences to the current configuration."""
        request = self.body(CheckRequest)
        content = _content(request)
        await self.context.configuration.check(content)
        version, lines = await self.context.configuration.differences(content)
        self.send({"team": content.team, "version": version, "differences": lines})


class Apply(Page):
    """Change of a team's configuration."""

    async def post(self):
        """Apply a questionnaire and send the new version with its domain counts."""
        self.authenticate()
        request = self.body(ApplyRequest)
        content = _content(request)
        service = self.context.configuration
        await service.check(content)
        try:
            report = await service.apply(
                content, request.expected_version, request.author
            )
        except ConfigurationConflict as exc:
            raise Conflict(str(exc), getattr(exc, "details", ())) from exc
        log_event(
            "info",
            "configuration applied",
            team=report.team,
            version=report.version,
            author=request.author,
        )
        self.send(report)


class Operations(Page):
    """Operations whose outcome is unknown."""

    async def get(self):
        """Send the operations."""
        service = self.get_query_argument("service", "") or None
        self.send({"operations": await self.context.operations.list_unknown(service)})


class Operation(Page):
    """Single operation."""

    async def get(self, service, key):
        """Send the record of the operation."""
        self.send(await self.context.operations.show(service, key))


class Settle(Page):
    """Settlement of an operation whose outcome is unknown."""

    async def post(self, service, key):
        """Record the operator's decision and send the resulting record."""
        self.authenticate()
        settlement = self.body(Settlement)
        if settlement.outcome not in OUTCOMES:
            raise InvalidRequest(
                f"outcome {settlement.outcome!r}: expected ran or not-run"
            )
        if not MIN_STATUS <= settlement.status <= MAX_STATUS:
            raise InvalidRequest(f"status {settlement.status}: expected 200 to 599")
        record = await self.context.operations.settle(service, key, settlement)
        log_event(
            "info",
            "operation settled",
            service=service,
            key=key,
            outcome=settlement.outcome,
            author=settlement.author,
        )
        self.send(record)


class Missing(Page):
    """Handler of all other paths."""

    def prepare(self):
        """Respond with status 404."""
        raise NotFound(f"page not found: {self.request.path}")


def _content(request):
    try:
        return generate(
            Questionnaire.from_document(request.questionnaire, request.source)
        )
    except ConfigError as exc:
        raise InvalidRequest(str(exc)) from exc
