"""Strict check of the operator's configuration before it is put in force.

`decode_configuration` is tolerant, so that a daemon keeps serving what it understands.
This check reports all of what is missing, wrong, contradictory or unknown instead, each
with its place in the document.
"""

import typing

import msgspec

from goldcresthoist.platform.configuration import (
    _KINDS,
    _UNUSED_FIELDS,
    _Configuration,
    _Limits,
    _Route,
    decode_configuration,
)
from goldcresthoist.routes.check import (
    CheckedConfiguration,
    CheckedRoute,
    CheckedService,
    CheckedTarget,
    CheckedWorkspace,
    Finding,
    check_configuration,
)
from goldcresthoist.routes.differences import table_differences
from goldcresthoist.workspaces import Workspace

__all__ = ["check_document", "compare_documents"]

# Place of findings that concern the whole document.
DOCUMENT = "document"
# Numbers that must be above 0. The others, except the priorities, must not be negative.
_POSITIVE_FIELDS = frozenset(
    (
        (_Route, "timeout_s"),
        (_Route, "max_attempts"),
        *((_Limits, name) for name in _Limits.__struct_fields__),
    )
)


def check_document(content):
    """Return the list of `Finding` for an encoded configuration, errors first."""
    try:
        document = msgspec.json.decode(content)
    except (msgspec.MsgspecError, RecursionError) as exc:
        return [Finding(DOCUMENT, f"not JSON: {exc}", True)]
    if not isinstance(document, dict):
        return [Finding(DOCUMENT, "expected an object", True)]
    reader = _StrictReader()
    values = reader.read_fields("", document, _Configuration)
    found = reader.findings + _unknown_kinds(values)
    found += check_configuration(_checked(document, values))
    return sorted(found, key=lambda item: not item.is_error)


def compare_documents(content, in_force):
    """Return what changes from the version in force.

    Parameters
    ----------
    content, in_force : bytes
        Encoded configurations, of which the first has no errors.

    Returns
    -------
    (tuple of str, list of Finding)
        Lines of text, and the findings of the comparison.

    Raises
    ------
    InvalidMessage
        When one of them cannot be decoded.
    """
    new, old = decode_configuration(content), decode_configuration(in_force)
    found = []
    if new.version <= old.version:
        text = f"{new.version} is not newer than {old.version}, which is in force"
        found.append(Finding("version", text))
    return table_differences(old, new), found


class _StrictReader:
    """Reads documents as the given structures and collects what is wrong.

    Attributes
    ----------
    findings : list of Finding
    """

    def __init__(self):
        self.findings = []

    def read_fields(self, prefix, document, kind):
        """Return the valid values of an object by field name, defaults included.

        Lists of objects in the document itself are returned as lists in which an object
        that is not valid is None, so that the others keep their places.

        Parameters
        ----------
        prefix : str
            Place of the object, with a dot at its end unless empty.
        document : dict
        kind : type
            `msgspec.Struct` that the object has the fields of.
        """
        values = {}
        fields = msgspec.structs.fields(kind)
        for field in fields:
            name = field.encode_name
            if name in document:
                place = prefix + name
                if self._read_value(place, document[name], kind, field, values):
                    continue
            elif field.required:
                self._add_error(prefix + name, "is missing")
            elif field.default is not msgspec.NODEFAULT:
                values[name] = field.default
        known = _UNUSED_FIELDS.union(field.encode_name for field in fields)
        for name in document:
            if name not in known:
                text = "this release does not know the field, and it has no effect"
                self.findings.append(Finding(prefix + name, text))
        return values

    def _read_object(self, place, document, kind):
        """Return an object of this kind, or None when it is not valid."""
        if not isinstance(document, dict):
            self._add_error(place, "expected an object")
            return None
        values = self.read_fields(f"{place}.", document, kind)
        complete = len(values) == len(kind.__struct_fields__)
        return kind(**values) if complete else None

    def _read_value(self, place, value, kind, field, values):
        """Store a valid value; return whether it is valid."""
        name = field.encode_name
        item_kind = _struct_in(field.type)
        if item_kind is field.type:
            read = self._read_object(place, value, item_kind)
            if read is None:
                return False
        elif item_kind is not None and value is not None:
            if not isinstance(value, list):
                self._add_error(place, "expected a list")
                return False
            read = [
                self._read_object(f"{place}[{index}]", item, item_kind)
                for index, item in enumerate(value)
            ]
            if None in read and kind is not _Configuration:
                return False
        else:
            try:
                read = msgspec.convert(value, field.type)
            except msgspec.ValidationError as exc:
                self._add_error(place, str(exc).replace("`", ""))
                return False
            problem = _problem(kind, field, read)
            if problem:
                self._add_error(place, problem)
                return False
        values[name] = read
        return True

    def _add_error(self, place, text):
        self.findings.append(Finding(place, text, True))


def _struct_in(annotation):
    """Return the `msgspec.Struct` of an annotation such as a tuple of it, or None."""
    if isinstance(annotation, type) and issubclass(annotation, msgspec.Struct):
        return annotation
    found = map(_struct_in, typing.get_args(annotation))
    return next((item for item in found if item is not None), None)


def _problem(kind, field, value):
    """Return what is wrong with a value of the right type, or None."""
    match value:
        case "" if field.required and field.encode_name != "prefix":
            return "is empty"
        case bool() | str() | None:
            return None
        case int() | float() if (kind, field.encode_name) in _POSITIVE_FIELDS:
            return None if value > 0 else f"{value:g} is not above 0"
        case int() | float() if field.encode_name != "priority":
            return f"{value:g} is below 0" if value < 0 else None
    return None


def _unknown_kinds(values):
    text = "this release does not know it; requests run at most once, at one upstream"
    return [
        Finding(f"routes[{index}].kind", f"{item.kind!r}: {text}")
        for index, item in enumerate(values.get("routes") or ())
        if item is not None and item.kind not in _KINDS
    ]


def _checked(document, values):
    """Return the `CheckedConfiguration` of the values that could be read."""
    services = document.get("services")
    names = [
        item.get("name")
        for item in (services if isinstance(services, list) else ())
        if isinstance(item, dict)
    ]
    return CheckedConfiguration(
        tuple(_located(values, "routes", _checked_route)),
        tuple(_located(values, "services", _checked_service)),
        tuple(_located(values, "tenants", _checked_workspace)),
        frozenset(name for name in names if isinstance(name, str)),
        bool(document.get("tenants")),
    )


def _located(values, name, convert):
    for index, item in enumerate(values.get(name) or ()):
        if item is not None:
            yield convert(f"{name}[{index}]", item)


def _checked_route(place, item):
    weights_place = f"{place}.weighted_services"
    targets = tuple(
        CheckedTarget(f"{weights_place}[{index}].service", part.service, part.weight)
        for index, part in enumerate(item.weighted_services)
    )
    targets_place = weights_place
    if not item.weighted_services:
        targets_place = f"{place}.service"
        if item.service:
            targets = (CheckedTarget(targets_place, item.service, 1.0),)
    return CheckedRoute(
        place,
        item.name,
        item.host,
        item.prefix,
        item.timeout_s,
        item.aim_s,
        item.public,
        targets,
        targets_place,
    )


def _checked_service(place, item):
    return CheckedService(
        place,
        item.name,
        item.cold_start_s,
        item.cold_per_s,
        f"{place}.cold_per_s",
    )


def _checked_workspace(place, item):
    return CheckedWorkspace(
        place,
        f"{place}.api_keys",
        Workspace(item.name, item.api_keys, item.priority, item.rate_per_s, item.burst),
    )
