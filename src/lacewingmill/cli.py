"""The command line."""

import argparse
import getpass
import os
import sys
import uuid
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING

import gevent

from lacewingmill import __version__
from lacewingmill.exceptions import (
    CatalogueError,
    DocumentInvalid,
    LacewingmillError,
    PeerError,
    SettingsError,
)

if TYPE_CHECKING:
    from lacewingmill.cells.history import HistoryEntry

__all__ = ["ExitCode", "main"]


SETTINGS_VARIABLE = "LACEWINGMILL_SETTINGS"


class ExitCode:
    """Exit codes of all commands; docs/OPERATIONS.md lists them."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNREACHABLE = 5


def main(argv: list[str] | None = None) -> int:
    """Run a command and return its exit code.

    :param argv: arguments without the program's name; those of the process by default.
    """
    args = build_parser().parse_args(argv)
    try:
        return args.run(args)
    except (SettingsError, DocumentInvalid) as exc:
        print(exc.message, file=sys.stderr)
        return ExitCode.INVALID
    except CatalogueError as exc:
        print(f"lacewingmill: {exc}", file=sys.stderr)
        return ExitCode.CONFLICT
    except PeerError as exc:
        print(f"lacewingmill: {exc}; try another entry VM", file=sys.stderr)
        return ExitCode.UNREACHABLE
    except LacewingmillError as exc:
        print(f"lacewingmill: {exc}", file=sys.stderr)
        return ExitCode.FAILED


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="lacewingmill", description="Scheduler for multi-accelerator jobs under guarantees."
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    serve = _add(commands, "serve", _serve, "run an entry VM")
    serve.add_argument("--settings", type=Path, required=True, help="YAML settings of this VM")
    serve_jobs = _add(commands, "serve-jobs", _serve_jobs, "run a VM on the users' platform")
    serve_jobs.add_argument(
        "--settings",
        type=Path,
        default=os.environ.get(SETTINGS_VARIABLE),
        help=f"the platform's settings of this VM; ${SETTINGS_VARIABLE} by default",
    )
    check = _add(commands, "check", _check, "check service files, or the settings of serve-jobs")
    check.add_argument(
        "path", type=Path, help="a directory of service files, or a settings file of the platform"
    )
    publish = _add(commands, "publish", _publish, "check and publish service files")
    publish.add_argument("directory", type=Path)
    publish.add_argument("--base", type=int, help="refuse unless this revision is in force")
    publish.add_argument("--by", help="operator named in the audit")
    status = _add(commands, "status", _status, "show the entry VMs and the cell")
    explain = _add(commands, "explain", _explain, "say why a job waits, runs or ended")
    explain.add_argument("job")
    history = _add(commands, "history", _history, "list what was decided in the cell")
    for command in (explain, history):
        command.add_argument(
            "--hours", type=int, default=24, help="how far back to look, at most 168"
        )
    audit = _add(commands, "audit", _audit, "list the accepted configurations")
    story = _add(commands, "story", _story, "tell what captured logs hold of a job or worker")
    story.add_argument("id", help="id of a job, unit or worker; logs are read on standard input")
    _add(commands, "version", _version, "print the version")
    for command in (publish, status, explain, history, audit):
        command.add_argument(
            "--to", required=True, metavar="URL", help="control address of any entry VM"
        )
    for command in (check, publish, status, explain, history, audit):
        command.add_argument("--json", action="store_true", help="print JSON for programs")
    return parser


def _add(commands, name: str, run, text: str) -> argparse.ArgumentParser:
    command = commands.add_parser(name, help=text, description=text[0].upper() + text[1:] + ".")
    command.set_defaults(run=run)
    return command


def _serve(args: argparse.Namespace) -> int:
    gevent.config.resolver = "block"  # addresses are IP numbers; other resolvers start threads
    from lacewingmill.serving import serve

    serve(args.settings)
    return ExitCode.OK


def _serve_jobs(args: argparse.Namespace) -> int:
    gevent.config.resolver = "block"  # addresses are IP numbers; other resolvers start threads
    from lacewingmill.serving import serve_jobs

    if args.settings is None:
        raise SettingsError(
            f"neither --settings nor ${SETTINGS_VARIABLE} is given", step="settings"
        )
    serve_jobs(Path(args.settings))
    return ExitCode.OK


def _check_settings(path: Path) -> int:
    from lacewingmill.platform import load_platform_settings

    cfg = load_platform_settings(path)
    print(f"{path}: right; {cfg.vm} would serve callers at {cfg.front}")
    return ExitCode.OK


def _check(args: argparse.Namespace) -> int:
    from lacewingmill.catalogue.documents import load_services

    if args.path.is_file():
        return _check_settings(args.path)
    services = load_services(args.path)
    if args.json:
        _print_json(services)
    else:
        names = ", ".join(service.name for service in services)
        print(f"{len(services)} service file(s) are right: {names}")
    return ExitCode.OK


def _publish(args: argparse.Namespace) -> int:
    from lacewingmill.catalogue.documents import load_services
    from lacewingmill.operations import PublishRequest

    services = load_services(args.directory)
    client = _client(args)
    order = PublishRequest(services, args.by or _operator(), uuid.uuid4().hex, args.base)
    result = client.publish(order)
    statuses = client.wait_in_force(result.index.revision)
    if args.json:
        _print_json((result, statuses))
    else:
        print(f"revision {result.index.revision} accepted")
        for line in result.index.changes:
            print(f"  {line}")
        for line in result.warnings:
            print(f"  warning: with one worker lost, {line}")
        for status in statuses:
            state = "in force" if status.revision >= result.index.revision else "NOT in force"
            print(f"  {status.vm}: revision {status.revision} {state}")
    in_force = all(status.revision >= result.index.revision for status in statuses)
    return ExitCode.OK if in_force else ExitCode.FAILED


def _operator() -> str:
    """Return who runs the command; an account need not have a name."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):  # OSError since Python 3.13
        return f"uid {os.getuid()}"


def _status(args: argparse.Namespace) -> int:
    client = _client(args)
    statuses, cell = client.statuses(), client.cell()
    if args.json:
        _print_json((statuses, cell))
        return ExitCode.OK
    for status in statuses:
        owner = status.owner.vm if status.owner else "unknown"
        state = status.not_ready or "ready"
        print(
            f"{status.vm}: {state}, revision {status.revision}, {status.in_flight} in flight, "
            f"{status.queued} queued, cell owner {owner}"
        )
    if cell is None:
        print("cell: no owner answers")
        return ExitCode.FAILED
    print(
        f"cell: {cell.workers} workers, {cell.free_accelerators} of {cell.accelerators} "
        f"accelerators free, {cell.waiting_jobs} of {cell.jobs} jobs wait, "
        f"fragmentation {cell.fragmentation:.2f}"
    )
    for line in cell.shortfalls:
        print(f"  guarantee cannot be reclaimed now: {line}")
    for line in cell.quarantined:
        print(f"  worker takes no jobs for now: {line}")
    return ExitCode.OK


def _explain(args: argparse.Namespace) -> int:
    report = _client(args).explain(args.job, args.hours)
    if report is None:
        print(f"lacewingmill: no job {args.job} is known in the last {args.hours} hours")
        return ExitCode.FAILED
    if args.json:
        _print_json(report)
        return ExitCode.OK
    print(f"job {report.job_id}: {report.phase.value.replace('_', ' ')}")
    if report.reason:
        print(f"  because {report.reason}")
    for note in report.notes:
        print(f"  {note.text}")
    if report.history:
        print("history:")
        _print_history(report.history)
    return ExitCode.OK


def _history(args: argparse.Namespace) -> int:
    entries = _client(args).history(args.hours)
    if args.json:
        _print_json(entries)
    else:
        _print_history(entries)
    return ExitCode.OK


def _print_history(entries: "tuple[HistoryEntry, ...]") -> None:
    for entry in entries:
        at = datetime.fromtimestamp(entry.at, UTC).isoformat(timespec="milliseconds")
        job = f" job {entry.job}:" if entry.job else ""
        print(f"  {at} {entry.vm} {entry.number} {entry.event}{job} {entry.detail}")


def _audit(args: argparse.Namespace) -> int:
    indexes = _client(args).audit()
    if args.json:
        _print_json(indexes)
        return ExitCode.OK
    for index in indexes:
        print(f"revision {index.revision} by {index.by} on {index.base}")
        for line in index.changes:
            print(f"  {line}")
    return ExitCode.OK


def _story(args: argparse.Namespace) -> int:
    from lacewingmill.log_search import search_logs

    told = False
    for line in search_logs(sys.stdin, args.id):
        told = True
        print(line)
    if not told:
        print(f"lacewingmill: no log line concerns {args.id}", file=sys.stderr)
    return ExitCode.OK if told else ExitCode.FAILED


def _version(args: argparse.Namespace) -> int:
    print(f"lacewingmill {__version__}")
    return ExitCode.OK


def _client(args: argparse.Namespace):
    gevent.config.resolver = "block"
    from lacewingmill.client import OperatorClient

    return OperatorClient(args.to)


def _print_json(value) -> None:
    from lacewingmill.codec import encode_json

    print(encode_json(value).decode())
