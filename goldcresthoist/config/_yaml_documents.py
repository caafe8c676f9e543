"""Loading of YAML documents and their conversion to validated msgspec structs."""

import re

import msgspec
import yaml

_MESSAGE = re.compile(r"^(?P<reason>.*?)(?: - at `(?P<path>\$[^`]*)`)?$", re.DOTALL)
_PATH_STEP = re.compile(r"\.([^.\[]+)|\[(\d+)\]")
_UNKNOWN_FIELD = re.compile(r"unknown field `(?P<name>[^`]+)`")
_MISSING_FIELD = re.compile(r"missing required field `(?P<name>[^`]+)`")

# For a bad value with an explicit tag, such as ``!!int ''``, PyYAML raises built-in
# exceptions instead of its own.
_LOAD_ERRORS = (yaml.YAMLError, ValueError, TypeError, LookupError, AttributeError)

# Values that must not appear in error messages, which are written to logs.
_SECRET_KEYS = frozenset({"access_key", "secret_key", "shared_key"})


class _UniqueKeyLoader(yaml.SafeLoader):
    """Loader that rejects duplicate keys. PyYAML would silently keep the last one."""

    def construct_mapping(self, node, deep=False):
        seen = set()
        for key_node, _ in node.value:
            key = (key_node.tag, str(key_node.value))
            if key in seen:
                raise yaml.constructor.ConstructorError(
                    problem=f"key {key_node.value!r} occurs twice",
                    problem_mark=key_node.start_mark,
                )
            seen.add(key)
        return super().construct_mapping(node, deep)


def load_yaml(text, source, error):
    """Parse a YAML document that must be a mapping.

    Parameters
    ----------
    text : str
    source : str
        Name of the file, for error messages.
    error : type of Exception
        Raised if the text is not valid YAML or not a mapping.

    Returns
    -------
    dict
    """
    try:
        document = yaml.load(text, _UniqueKeyLoader)
    except RecursionError as exc:
        raise error(f"{source}: not valid YAML: nested too deeply") from exc
    except _LOAD_ERRORS as exc:
        mark = getattr(exc, "problem_mark", None)
        line = f" line {mark.line + 1}" if mark else ""
        problem = getattr(exc, "problem", None) or "cannot be parsed"
        raise error(f"{source}:{line} not valid YAML: {problem}") from exc
    if not isinstance(document, dict):
        kind = type(document).__name__
        raise error(f"{source}: expected a mapping of keys, got {kind}")
    return document


def convert(document, type_, source, error):
    """Convert a document of plain Python objects to a msgspec struct.

    Parameters
    ----------
    document : dict
    type_ : type
    source : str
        Name of the file, for error messages.
    error : type of Exception
        Raised if the document is not valid. Its message is one line with the source,
        the key, the value and the reason.
    """
    try:
        return msgspec.convert(document, type_)
    except msgspec.ValidationError as exc:
        raise error(f"{source}: {_describe(str(exc), document)}") from exc


def _describe(message, document):
    """Turn a message of `msgspec.ValidationError` into one with key and value."""
    match = _MESSAGE.match(message)
    reason = match["reason"]
    path = match["path"] or "$"
    if unknown := _UNKNOWN_FIELD.search(reason):
        # The key may be a misspelt secret, so its value is not shown.
        return f"key {_join_path(path, unknown['name'])} (value not shown): unknown key"
    if missing := _MISSING_FIELD.search(reason):
        return f"key {_join_path(path, missing['name'])} is missing"
    key = path.removeprefix("$").lstrip(".") or "(document)"
    if key in _SECRET_KEYS:
        return f"key {key} (value not shown): {reason}"
    return f"key {key} = {_value_at(document, path)!r}: {reason}"


def _join_path(path, name):
    return f"{path}.{name}".removeprefix("$").lstrip(".")


def _value_at(document, path):
    value = document
    for name, index in _PATH_STEP.findall(path):
        try:
            value = value[int(index)] if index else value[name]
        except (KeyError, IndexError, TypeError):
            return None
    return value
