"""Checks that the documentation matches the code."""

import ast
import re
from pathlib import Path

from lacewingmill.cli import ExitCode
from lacewingmill.events import LogEvent

ROOT = Path(__file__).parent.parent


def test_event_catalogue_matches_the_code():
    rows = re.findall(r"^\| (\d+) \| (\w+) \| (\w+) \| (.+) \|$", read("docs/EVENTS.md"), re.M)
    documented = {(int(number), name, level, meaning) for number, name, level, meaning in rows}
    defined = {(e.number, e.name.lower(), e.level, e.meaning) for e in LogEvent}
    assert documented == defined
    assert len({event.number for event in LogEvent}) == len(LogEvent)


def test_every_event_is_emitted():
    source = "".join(path.read_text() for path in (ROOT / "src").rglob("*.py"))
    never_emitted = [event.name for event in LogEvent if f"LogEvent.{event.name}" not in source]
    assert never_emitted == []


def test_proofs_name_existing_tests():
    referenced = set(re.findall(r"`(test_\w+)`", read("docs/PROOFS.md")))
    existing = set()
    for path in (ROOT / "tests").glob("test_*.py"):
        existing.add(path.stem)
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.FunctionDef):
                existing.add(node.name)
    assert referenced
    assert referenced <= existing, referenced - existing


def test_exit_codes_are_documented():
    text = read("docs/OPERATIONS.md")
    for name, code in vars(ExitCode).items():
        if name.isupper():
            assert re.search(rf"^\| {code} \|", text, re.M), name


def read(name):
    return (ROOT / name).read_text()
