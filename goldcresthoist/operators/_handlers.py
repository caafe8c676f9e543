"""Request handlers of the pages for operators."""

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

CODES = {404: "not-found", 405: "method-not-allowed"}
OUTCOMES = ("ran", "not-run")
MIN_STATUS = 200
MAX_STATUS = 599


class CheckRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a check: the questionnaire as a document, and its file for messages."""

    questionnaire: dict
    source: str = "questionnaire"


class ApplyRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of an apply. The version is the one that the operator has seen."""

    questionnaire: dict
    expected_version: int
    author: str
    source: str = "questionnaire"


class Page(RequestHandler):
    """Common parts of all pages. ``context`` is the `OperatorServer`."""

    def initialize(self, context):
        """Keep the server that holds the services."""
        self.context = context

    def set_default_headers(self):
        """Answers describe a moment and must not be cached."""
        self.set_header("Server", "goldcresthoist")
        self.set_header("Cache-Control", "no-store")

    def compute_etag(self):
        """Pages have no entity tag."""
        return None

    def log_exception(self, typ, value, tb):
        """Log unexpected errors as one line; the others are counted only."""
        if not isinstance(value, (OperatorsError, HTTPError)):
            log_event("error", "operator request failed", error=value)

    def on_finish(self):
        """Count the request."""
        self.context.counters.add(
            "operator_requests", page=type(self).__name__, status=self.get_status()
        )

    def send(self, document, status=200):
        """Answer with JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(document) + b"\n")

    def send_text(self, text):
        """Answer with plain text."""
        self.set_header("Content-Type", "text/plain; charset=utf-8")
        self.finish(text)

    def write_error(self, status_code, **kwargs):
        """Answer an error as JSON with code and message."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, OperatorsError):
            self.send(
                {"code": error.code, "message": str(error), "details": error.details},
                error.status,
            )
            return
        code = CODES.get(status_code, "internal" if status_code >= 500 else "invalid")
        self.send({"code": code, "message": self._reason, "details": ()}, status_code)

    def body(self, type_):
        """Return the decoded JSON body."""
        try:
            return msgspec.json.decode(self.request.body, type=type_)
        except msgspec.MsgspecError as exc:
            raise InvalidRequest(f"request body: {exc}") from exc

    def team(self):
        """Return the team named in the query."""
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
    """Whether the daemon takes calls, for probes."""

    def get(self):
        """Answer 200 when ready, else 503."""
        status = self.context.status.status()
        document = {"ready": status.is_ready(), "state": status.state}
        document["reason"] = status.reason
        self.send(document, 200 if status.is_ready() else 503)


class StatusPage(Page):
    """State of the daemon."""

    def get(self):
        """Answer as JSON, or as text with ``?format=text``."""
        status = self.context.status.status()
        if self.get_query_argument("format", "json") == "text":
            self.send_text(status_text(status))
        else:
            self.send(status)


class Metrics(Page):
    """Metrics in the Prometheus text format."""

    def get(self):
        """Answer with all metrics."""
        self.set_header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        self.finish(self.context.counters.text())


class Challenge(Page):
    """Challenges for requests that change something."""

    def get(self):
        """Answer with a new challenge."""
        self.send({"challenge": self.context.challenges.issue()})


class Show(Page):
    """Current configuration of a team."""

    async def get(self):
        """Answer with the record."""
        self.send(await self.context.configuration.show(self.team()))


class History(Page):
    """Earlier versions of a team's configuration."""

    async def get(self):
        """Answer with the history, newest first."""
        entries = await self.context.configuration.history(self.team())
        self.send({"team": self.team(), "entries": entries})


class Check(Page):
    """Check of a questionnaire without a change."""

    async def post(self):
        """Answer with what would change."""
        request = self.body(CheckRequest)
        content = _content(request)
        await self.context.configuration.check(content)
        version, lines = await self.context.configuration.differences(content)
        self.send({"team": content.team, "version": version, "differences": lines})


class Apply(Page):
    """Change of a team's configuration."""

    async def post(self):
        """Answer with the new version and its counts."""
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
    """Operations whose result is not known."""

    async def get(self):
        """Answer with the list."""
        service = self.get_query_argument("service", "") or None
        self.send({"operations": await self.context.operations.list_unknown(service)})


class Operation(Page):
    """One operation."""

    async def get(self, service, key):
        """Answer with its record."""
        self.send(await self.context.operations.show(service, key))


class Settle(Page):
    """Settlement of an unknown operation."""

    async def post(self, service, key):
        """Record what the operator found out."""
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
    """Any other path."""

    def prepare(self):
        """Answer that the page does not exist."""
        raise NotFound(f"no page {self.request.path}")


def _content(request):
    try:
        return generate(
            Questionnaire.from_document(request.questionnaire, request.source)
        )
    except ConfigError as exc:
        raise InvalidRequest(str(exc)) from exc
