"""Commands for the configuration of a team."""

import getpass
import os
from pathlib import Path
from urllib.parse import urlencode

import msgspec
import yaml

from goldcresthoist.cli._client import (
    SETTINGS_VARIABLE,
    OperatorClient,
    RemoteError,
)
from goldcresthoist.cli.errors import CommandFailed, InvalidConfiguration, UsageError
from goldcresthoist.config import InvalidAnswer, Questionnaire, generate
from goldcresthoist.config._yaml_documents import load_yaml
from goldcresthoist.operators import (
    ApplyReport,
    ConfigurationRecord,
    Conflict,
    HistoryEntry,
)
from goldcresthoist.platform import PlatformFormatError, decode_configuration
from goldcresthoist.platform.configuration_check import (
    check_document,
    compare_documents,
)

PLATFORM_SUFFIX = ".json"


class Preview(msgspec.Struct, frozen=True):
    """Response of a daemon to a check of a questionnaire."""

    team: str
    version: int
    differences: tuple[str, ...]


class History(msgspec.Struct, frozen=True):
    """Response of a daemon with the history of a team."""

    team: str
    entries: tuple[HistoryEntry, ...]


def check(file, settings, address, in_force=None):
    """Validate a questionnaire locally and, if a daemon is given, against the fleet.

    A file that ends with ``.json`` is a configuration of the users' platform, which is
    checked locally, and against the version in force if the name of its file is given.
    """
    if file.endswith(PLATFORM_SUFFIX):
        return _check_platform_configuration(file, in_force)
    if in_force is not None:
        raise UsageError("--in-force is only for a FILE that ends with .json")
    document = _load_questionnaire(file)
    content = generate(Questionnaire.from_document(document, file))
    work = sum(len(service.work) for service in content.services)
    print(
        f"{file}: valid: team {content.team}, {len(content.services)} services, "
        f"{work} kinds of work"
    )
    if settings or address or os.environ.get(SETTINGS_VARIABLE):
        client = OperatorClient.from_flags(settings, address)
        _print_preview(_request_preview(client, document, file))
    return 0


def _check_platform_configuration(file, in_force):
    """Print the findings and the differences; return 1 if there are findings."""
    content = _read_bytes(file)
    found = check_document(content)
    if found and found[0].is_error:
        first, *others = found
        raise InvalidConfiguration(f"{file}: {first}", others)
    differences = ()
    if in_force is not None:
        try:
            differences, more = compare_documents(content, _read_bytes(in_force))
        except PlatformFormatError as exc:
            raise InvalidAnswer(f"{in_force}: {exc}") from exc
        found += more
    table = decode_configuration(content)
    print(f"{file}: valid: version {table.version}, {len(table.routes)} routes")
    for item in found:
        print(f"  {item}")
    if in_force is not None:
        print("changes:" if differences else "no changes")
        for line in differences:
            print(f"  {line}")
    return 1 if found else 0


def _read_bytes(file):
    try:
        return Path(file).read_bytes()
    except OSError as exc:
        raise InvalidAnswer(f"{file}: cannot be read: {exc.strerror}") from exc


def apply(file, settings, address, author, base):
    """Apply a questionnaire and print how many daemons have it in force."""
    base_version = _parse_base_version(base)
    document = _load_questionnaire(file)
    Questionnaire.from_document(document, file)
    client = OperatorClient.from_flags(settings, address)
    preview = _request_preview(client, document, file)
    _print_preview(preview)
    if preview.version and not preview.differences:
        return 0
    if preview.version and base is None:
        raise CommandFailed(
            f"nothing was changed: if these are the intended changes, apply again "
            f"with --base {preview.version}"
        )
    request = {
        "questionnaire": document,
        "source": file,
        "expected_version": base_version,
        "author": author or author_name(),
    }
    try:
        report = client.change("/configuration/apply", request, ApplyReport)
    except RemoteError as exc:
        raise _explain_conflict(exc, preview.team, base_version) from exc
    _print_report(report)
    return 0


def show(team, settings, address):
    """Print the current configuration as YAML."""
    client = OperatorClient.from_flags(settings, address)
    target = f"/configuration?{urlencode({'team': team})}"
    record = client.get_json(target, ConfigurationRecord)
    print(f"# version {record.version} by {record.author} at {record.time}")
    print(f"# digest {record.digest}")
    content = msgspec.to_builtins(record.content)
    print(yaml.safe_dump(content, sort_keys=False), end="")
    return 0


def history(team, settings, address):
    """Print one line for each version of a team's configuration."""
    client = OperatorClient.from_flags(settings, address)
    target = f"/configuration/history?{urlencode({'team': team})}"
    for entry in client.get_json(target, History).entries:
        print(
            f"version {entry.version}  {entry.time}  {entry.author}  "
            f"{entry.digest[:12]}"
        )
    return 0


def author_name():
    """Return the name of the current user, or the user id if it has no name."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return f"uid {os.getuid()}"


def _load_questionnaire(file):
    try:
        text = Path(file).read_text()
    except OSError as exc:
        raise InvalidAnswer(f"{file}: cannot be read: {exc.strerror}") from exc
    except UnicodeDecodeError as exc:
        raise InvalidAnswer(f"{file}: not UTF-8 text") from exc
    return load_yaml(text, file, InvalidAnswer)


def _request_preview(client, document, file):
    request = {"questionnaire": document, "source": file}
    return client.post("/configuration/check", request, Preview)


def _print_preview(preview):
    if not preview.version:
        print(f"team {preview.team} has no configuration yet")
    elif preview.differences:
        print(f"changes to version {preview.version} of team {preview.team}:")
    else:
        print(f"no changes to version {preview.version} of team {preview.team}")
    for line in preview.differences:
        print(f"  {line}")


def _print_report(report):
    print(f"accepted as version {report.version} of team {report.team}")
    for count in report.counts:
        reached = f"in force in {count.in_force} of {count.daemons} daemons"
        if not count.daemons:
            reached = "no daemon can be reached"
        print(f"  failure domain {count.failure_domain}: {reached}")
    missing = sum(count.daemons - count.in_force for count in report.counts)
    if missing:
        print(
            f"  {missing} daemons do not have it yet; they put it in force when they "
            "are reachable"
        )


def _parse_base_version(base):
    if base is None:
        return 0
    if not base.isdecimal():
        raise UsageError(f"--base {base}: expected a version number")
    return int(base)


def _explain_conflict(error, team, base_version):
    if error.code != Conflict.code:
        return error
    return CommandFailed(
        f"nothing was changed: another operator changed team {team} after "
        f"version {base_version}: {error}",
        error.details,
    )
