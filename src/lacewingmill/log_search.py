"""Searches captured logs for the lines about a job, unit or worker."""

from collections.abc import Iterable, Iterator
from typing import Any

from lacewingmill.codec import decode_json
from lacewingmill.exceptions import MessageInvalid

__all__ = ["search_logs"]

# These fields are not searched, and are printed at the start of a line or not at all.
HEADER_FIELDS = ("timestamp", "vm", "number", "event", "level")


def search_logs(lines: Iterable[str], wanted_id: str) -> Iterator[str]:
    """Yield the log lines that mention an id, sorted by time and formatted for reading.

    :param lines: captured output of any number of VMs; anything that is not a log line is skipped.
    :param wanted_id: id of a job, unit or worker, or a part of one.
    """
    matches = []
    for line in lines:
        entry = _parse_line(line)
        if entry is not None and _mentions(entry, wanted_id):
            matches.append(entry)
    matches.sort(key=lambda entry: entry.get("timestamp", ""))
    for entry in matches:
        yield _format_entry(entry)


def _parse_line(line: str) -> dict[str, Any] | None:
    start = line.find("{")
    if start < 0:
        return None
    try:
        entry = decode_json(line[start:])
    except MessageInvalid:
        return None
    return entry if isinstance(entry, dict) and "event" in entry else None


def _mentions(entry: dict[str, Any], wanted_id: str) -> bool:
    for name, value in entry.items():
        if name in HEADER_FIELDS:
            continue
        values = value if isinstance(value, list) else [value]
        if any(isinstance(item, str) and wanted_id in item for item in values):
            return True
    return False


def _format_entry(entry: dict[str, Any]) -> str:
    header = f"{entry.get('timestamp', '')} {entry.get('vm', '')} {entry['event']}"
    fields = [f"{name}={value}" for name, value in entry.items() if name not in HEADER_FIELDS]
    return " ".join([header, *fields])
