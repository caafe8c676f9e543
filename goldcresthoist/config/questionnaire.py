"""The questionnaire that one team answers, and the configuration made from it."""

import re
from pathlib import Path

import msgspec

from goldcresthoist.config._answers import Answer, check_unique
from goldcresthoist.config._checking import load_yaml
from goldcresthoist.config._duty_hours import DutyHours, parse_hours
from goldcresthoist.config.errors import InvalidAnswer
from goldcresthoist.config.model import AtMostOnce, Read, Repeatable, Upload, WorkKind

__all__ = ["Duties", "Place", "Questionnaire", "Service", "Work"]

KINDS = {
    "read": Read(),
    "repeatable": Repeatable(),
    "at-most-once": AtMostOnce(),
    "upload": Upload(),
}
# Methods by kind: a read or an upload in progress may be sent again by any proxy.
METHODS = {
    "read": ("GET", "HEAD", "POST"),
    "repeatable": ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"),
    "at-most-once": ("POST", "PUT", "PATCH", "DELETE"),
    "upload": ("POST", "PUT"),
}
# An upload is appended to with PATCH and its offset is read with HEAD.
UPLOAD_METHODS = ("PATCH", "HEAD")

MAX_PLACES = 100
MAX_SERVICES = 4000
MAX_WORK = 200
MAX_SLOTS = 1000
MAX_CONNECTIONS = 100_000
MAX_USUAL_MS = 3_600_000
MAX_LONGEST_MS = 86_400_000
MAX_WEIGHT = 1000
MAX_MEASURING_SHARE = 0.1
# Retries and hedges together stay under 10% of calls.
MAX_RETRY_SHARE = 0.1
MAX_HOURS = 14

DEFAULT_SLOTS = 12
DEFAULT_CONNECTIONS = 220
DEFAULT_WEIGHT = 1.0
DEFAULT_MEASURING_SHARE = 0.01
DEFAULT_RETRY_SHARE = 0.08

_PATH = re.compile(r"^/[A-Za-z0-9._~!$&'()*+,;=:@%/-]*$")
_PATH_RULE = "expected a path prefix such as /recordings, without query and spaces"


class Place(msgspec.Struct, frozen=True):
    """A failure domain and its region."""

    name: str
    region: str


class Work(msgspec.Struct, frozen=True):
    """One kind of work of a service. Times are in milliseconds."""

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
    """Hours of people on call, and budgets as shares from 0 to 1."""

    hours: tuple[DutyHours, ...] = ()
    measuring_budget: float = DEFAULT_MEASURING_SHARE
    retry_budget: float = DEFAULT_RETRY_SHARE


class Questionnaire(msgspec.Struct, frozen=True):
    """The answers of one team."""

    team: str
    places: tuple[Place, ...]
    services: tuple[Service, ...]
    duties: Duties

    @classmethod
    def from_file(cls, path):
        """Read and check a YAML file.

        Raises
        ------
        InvalidAnswer
            With one line that names the answer, its value and what is allowed.
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
        """Check a YAML text. Raises like `from_file`."""
        return cls.from_document(load_yaml(text, source, InvalidAnswer), source)

    @classmethod
    def from_document(cls, document, source="questionnaire"):
        """Check a document of plain dicts, lists, texts and numbers."""
        fields = Answer(source, "", document).fields(
            ("team", "places", "services"), ("duties",)
        )
        return cls(
            team=fields["team"].name(),
            places=_places(fields["places"]),
            services=_services(fields["services"]),
            duties=_duties(fields["duties"]) if "duties" in fields else Duties(),
        )


def _places(answer):
    names = []
    places = []
    for item in answer.items(MAX_PLACES):
        fields = item.fields(("name", "region"))
        places.append(Place(fields["name"].name(), fields["region"].name()))
        names.append(fields["name"])
    check_unique(names, "place name")
    return tuple(places)


def _services(answer):
    names = []
    services = []
    for item in answer.items(MAX_SERVICES):
        fields = item.fields(("name", "work"), ("slots", "connections"))
        services.append(_service(fields))
        names.append(fields["name"])
    check_unique(names, "service name")
    return tuple(services)


def _service(fields):
    slots = DEFAULT_SLOTS
    if "slots" in fields:
        slots = fields["slots"].count(1, MAX_SLOTS)
    connections = DEFAULT_CONNECTIONS
    if "connections" in fields:
        connections = fields["connections"].count(1, MAX_CONNECTIONS)
    return Service(fields["name"].name(), slots, connections, _all_work(fields["work"]))


def _all_work(answer):
    names = []
    routes = {}
    all_work = []
    for item in answer.items(MAX_WORK):
        fields = item.fields(
            ("name", "method", "path", "kind", "usual_ms", "longest_ms"), ("weight",)
        )
        work = _work(fields)
        _check_overlap(work, fields, routes)
        all_work.append(work)
        names.append(fields["name"])
    check_unique(names, "work name")
    return tuple(all_work)


def _work(fields):
    name = fields["name"].name()
    kind = fields["kind"].choice(tuple(KINDS))
    method = fields["method"].value
    if method not in METHODS[kind]:
        allowed = ", ".join(METHODS[kind])
        raise fields["method"].error(f"work of kind {kind} has one of {allowed}")
    usual_ms = fields["usual_ms"].milliseconds(MAX_USUAL_MS)
    longest_ms = fields["longest_ms"].milliseconds(MAX_LONGEST_MS)
    if longest_ms < usual_ms:
        raise fields["longest_ms"].error(f"expected at least usual_ms = {usual_ms:g}")
    weight = DEFAULT_WEIGHT
    if "weight" in fields:
        weight = fields["weight"].positive(MAX_WEIGHT)
    path = _path(fields["path"])
    return Work(name, method, path, KINDS[kind], usual_ms, longest_ms, weight)


def _path(answer):
    path = answer.text(_PATH, _PATH_RULE)
    segments = path.split("/")[1:]
    if segments[0] == "-":
        raise answer.error("the first segment '-' is reserved")
    if "" in segments[:-1] or {".", ".."} & set(segments):
        raise answer.error("expected no empty segment, '.' or '..'")
    return path


def _check_overlap(work, fields, routes):
    methods = [work.method]
    if isinstance(work.kind, Upload):
        methods.extend(UPLOAD_METHODS)
    path = work.path.rstrip("/")
    for method in methods:
        other = routes.setdefault((method, path), work.name)
        if other != work.name:
            raise fields["path"].error(
                f"overlaps work {other}, which also takes {method} of this path"
            )


def _duties(answer):
    fields = answer.fields((), ("hours", "measuring_budget", "retry_budget"))
    values = {}
    if "hours" in fields:
        values["hours"] = _hours(fields["hours"])
    if "measuring_budget" in fields:
        budget = fields["measuring_budget"]
        values["measuring_budget"] = budget.share(MAX_MEASURING_SHARE)
    if "retry_budget" in fields:
        values["retry_budget"] = fields["retry_budget"].share(MAX_RETRY_SHARE)
    return Duties(**values)


def _hours(answer):
    if isinstance(answer.value, list):
        return tuple(parse_hours(item) for item in answer.items(MAX_HOURS))
    return (parse_hours(answer),)
