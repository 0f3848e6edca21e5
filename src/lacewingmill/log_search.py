"""The story of one job, unit or worker out of captured log lines."""

from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

__all__ = ["tell_story"]

# Fields that stand at the front of a line, or say nothing about the id asked for.
SHOWN_FIRST = ("timestamp", "vm", "number", "event", "level")


def search_logs(lines: Iterable[str], wanted: str) -> Iterator[str]:
    """Yield the lines that concern an id, in order of time, in a form for people.

    :param lines: captured output of any number of VMs; what is not a log line is passed over.
    :param wanted: id of a job, a unit or a worker; also the start of one.
    """
    found = []
    for line in lines:
        entry = _parse(line)
        if entry is not None and _concerns(entry, wanted):
            found.append(entry)
    found.sort(key=lambda entry: entry.get("timestamp", ""))
    for entry in found:
        yield _format(entry)


def _parse(line: str) -> dict[str, Any] | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        entry = msgspec.json.decode(line[start:])
    except msgspec.DecodeError:
        return None
    return entry if isinstance(entry, dict) and "event" in entry else None


def _concerns(entry: dict[str, Any], wanted: str) -> bool:
    for name, value in entry.items():
        if name in SHOWN_FIRST:
            continue
        values = value if isinstance(value, list) else [value]
        if any(isinstance(item, str) and wanted in item for item in values):
            return True
    return False


def _format(entry: dict[str, Any]) -> str:
    head = f"{entry.get('timestamp', '')} {entry.get('vm', '')} {entry['event']}"
    fields = [f"{name}={value}" for name, value in entry.items() if name not in SHOWN_FIRST]
    return " ".join([head, *fields])
