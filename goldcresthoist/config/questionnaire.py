"""Parsing of the questionnaire that a team fills in.

`goldcresthoist.config.generation` makes the team's configuration from the result.
"""

import re
from pathlib import Path

import msgspec

from goldcresthoist.config._answers import Answer, check_unique
from goldcresthoist.config._on_call_hours import OnCallHours, parse_on_call_hours
from goldcresthoist.config._yaml_documents import load_yaml
from goldcresthoist.config.errors import InvalidAnswer
from goldcresthoist.config.model import AtMostOnce, Read, Repeatable, Upload, WorkKind

__all__ = ["Duties", "Place", "Questionnaire", "Service", "Work"]

KINDS_BY_NAME = {
    "read": Read(),
    "repeatable": Repeatable(),
    "at-most-once": AtMostOnce(),
    "upload": Upload(),
}
# Methods allowed for each kind of work. Any proxy on the way may send a read, or a
# request of an upload in progress, again.
METHODS_BY_KIND = {
    "read": ("GET", "HEAD", "POST"),
    "repeatable": ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"),
    "at-most-once": ("POST", "PUT", "PATCH", "DELETE"),
    "upload": ("POST", "PUT"),
}
# A client that resumes an upload reads its offset with HEAD and appends with PATCH.
RESUME_METHODS = ("PATCH", "HEAD")

MAX_PLACES = 100
MAX_SERVICES = 4000
MAX_WORK = 200
MAX_SLOTS = 1000
MAX_CONNECTIONS = 100_000
MAX_USUAL_MS = 3_600_000
MAX_LONGEST_MS = 86_400_000
MAX_WEIGHT = 1000
MAX_MEASURING_SHARE = 0.1
# Retries and hedges together must stay under 10% of calls.
MAX_RETRY_SHARE = 0.1
MAX_HOURS_ENTRIES = 14

DEFAULT_SLOTS = 12
DEFAULT_CONNECTIONS = 220
DEFAULT_WEIGHT = 1.0
DEFAULT_MEASURING_SHARE = 0.01
DEFAULT_RETRY_SHARE = 0.08

_PATH_PATTERN = re.compile(r"^/[A-Za-z0-9._~!$&'()*+,;=:@%/-]*$")
_PATH_EXPECTATION = (
    "expected a path prefix such as /recordings, without query and spaces"
)


class Place(msgspec.Struct, frozen=True):
    """A failure domain in which the team runs, and its region."""

    name: str
    region: str


class Work(msgspec.Struct, frozen=True):
    """One work entry of a service: a class of requests with a method and a path.

    Times are in milliseconds.
    """

    name: str
    method: str
    path: str
    kind: WorkKind
    usual_ms: float
    longest_ms: float
    weight: float


class Service(msgspec.Struct, frozen=True):
    """One service of the team."""

    name: str
    slots: int
    connections: int
    work: tuple[Work, ...]


class Duties(msgspec.Struct, frozen=True):
    """On-call hours, and budgets as fractions of calls from 0 to 1."""

    hours: tuple[OnCallHours, ...] = ()
    measuring_budget: float = DEFAULT_MEASURING_SHARE
    retry_budget: float = DEFAULT_RETRY_SHARE


class Questionnaire(msgspec.Struct, frozen=True):
    """The validated answers of one team."""

    team: str
    places: tuple[Place, ...]
    services: tuple[Service, ...]
    duties: Duties

    @classmethod
    def from_file(cls, path):
        """Read and validate a YAML file.

        Raises
        ------
        InvalidAnswer
            With one line that contains the path of the answer, its value and what
            was expected.
        """
        try:
            text = Path(path).read_text()
        except OSError as exc:
            raise InvalidAnswer(f"{path}: cannot be read: {exc.strerror}") from exc
        except UnicodeDecodeError as exc:
            raise InvalidAnswer(f"{path}: not UTF-8 text") from exc
        return cls.from_text(text, str(path))

    @classmethod
    def from_text(cls, text, source="questionnaire"):
        """Parse and validate YAML text. Raises as `from_file` does."""
        return cls.from_document(load_yaml(text, source, InvalidAnswer), source)

    @classmethod
    def from_document(cls, document, source="questionnaire"):
        """Validate a document of plain Python objects. Raises as `from_file` does."""
        fields = Answer(source, "", document).fields(
            ("team", "places", "services"), ("duties",)
        )
        return cls(
            team=fields["team"].name(),
            places=_parse_places(fields["places"]),
            services=_parse_services(fields["services"]),
            duties=_parse_duties(fields["duties"]) if "duties" in fields else Duties(),
        )


def _parse_places(answer):
    names = []
    places = []
    for item in answer.items(MAX_PLACES):
        fields = item.fields(("name", "region"))
        places.append(Place(fields["name"].name(), fields["region"].name()))
        names.append(fields["name"])
    check_unique(names, "place name")
    return tuple(places)


def _parse_services(answer):
    names = []
    services = []
    for item in answer.items(MAX_SERVICES):
        fields = item.fields(("name", "work"), ("slots", "connections"))
        services.append(_parse_service(fields))
        names.append(fields["name"])
    check_unique(names, "service name")
    return tuple(services)


def _parse_service(fields):
    slots = DEFAULT_SLOTS
    if "slots" in fields:
        slots = fields["slots"].count(1, MAX_SLOTS)
    connections = DEFAULT_CONNECTIONS
    if "connections" in fields:
        connections = fields["connections"].count(1, MAX_CONNECTIONS)
    return Service(
        fields["name"].name(), slots, connections, _parse_work_list(fields["work"])
    )


def _parse_work_list(answer):
    names = []
    routes = {}
    all_work = []
    for item in answer.items(MAX_WORK):
        fields = item.fields(
            ("name", "method", "path", "kind", "usual_ms", "longest_ms"), ("weight",)
        )
        work = _parse_work(fields)
        _check_overlap(work, fields, routes)
        all_work.append(work)
        names.append(fields["name"])
    check_unique(names, "work name")
    return tuple(all_work)


def _parse_work(fields):
    name = fields["name"].name()
    kind = fields["kind"].choice(tuple(KINDS_BY_NAME))
    method = fields["method"].value
    if method not in METHODS_BY_KIND[kind]:
        allowed = ", ".join(METHODS_BY_KIND[kind])
        raise fields["method"].error(f"expected one of {allowed} for kind {kind}")
    usual_ms = fields["usual_ms"].milliseconds(MAX_USUAL_MS)
    longest_ms = fields["longest_ms"].milliseconds(MAX_LONGEST_MS)
    if longest_ms < usual_ms:
        raise fields["longest_ms"].error(f"expected at least usual_ms = {usual_ms:g}")
    weight = DEFAULT_WEIGHT
    if "weight" in fields:
        weight = fields["weight"].positive(MAX_WEIGHT)
    path = _parse_path(fields["path"])
    return Work(name, method, path, KINDS_BY_NAME[kind], usual_ms, longest_ms, weight)


def _parse_path(answer):
    path = answer.text(_PATH_PATTERN, _PATH_EXPECTATION)
    segments = path.split("/")[1:]
    if segments[0] == "-":
        raise answer.error("the first segment '-' is reserved")
    if "" in segments[:-1] or {".", ".."} & set(segments):
        raise answer.error("expected no empty segment, '.' or '..'")
    return path


def _check_overlap(work, fields, routes):
    """Add the routes of a work entry; raise if another entry has one of them.

    ``routes`` maps (method, path) to the name of a work entry.
    """
    methods = [work.method]
    if isinstance(work.kind, Upload):
        methods.extend(RESUME_METHODS)
    path = work.path.rstrip("/")
    for method in methods:
        other = routes.setdefault((method, path), work.name)
        if other != work.name:
            raise fields["path"].error(
                f"overlaps work {other}, which also matches {method} on this path"
            )


def _parse_duties(answer):
    fields = answer.fields((), ("hours", "measuring_budget", "retry_budget"))
    values = {}
    if "hours" in fields:
        values["hours"] = _parse_hours(fields["hours"])
    if "measuring_budget" in fields:
        budget = fields["measuring_budget"]
        values["measuring_budget"] = budget.share(MAX_MEASURING_SHARE)
    if "retry_budget" in fields:
        values["retry_budget"] = fields["retry_budget"].share(MAX_RETRY_SHARE)
    return Duties(**values)


def _parse_hours(answer):
    if isinstance(answer.value, list):
        return tuple(
            parse_on_call_hours(item) for item in answer.items(MAX_HOURS_ENTRIES)
        )
    return (parse_on_call_hours(answer),)
