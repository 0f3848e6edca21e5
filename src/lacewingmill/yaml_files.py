"""Strict parsing of YAML files into attrs classes, with file and key path in each message."""

import re
from pathlib import Path
from typing import Any, TypeVar

import cattrs
import yaml
from cattrs.errors import ForbiddenExtraKeysError

__all__ = ["parse_duration_s", "parse_memory_gb", "read_yaml", "structure_document"]

T = TypeVar("T")
DURATION_UNITS_S = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
MEMORY_UNITS_GB = {"MB": 0.001, "GB": 1.0, "TB": 1000.0}
QUANTITY_PATTERN = re.compile(r"^\s*([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z]+)\s*$")


class _UniqueKeyLoader(yaml.SafeLoader):
    """Safe loader that rejects duplicate keys."""


def _construct_mapping(loader: _UniqueKeyLoader, node: yaml.MappingNode) -> dict[Any, Any]:
    seen = set()
    for key_node, _ in node.value:
        key = loader.construct_object(key_node, deep=True)
        if key in seen:
            raise yaml.constructor.ConstructorError(
                None, None, f"duplicate key {key!r}", key_node.start_mark
            )
        seen.add(key)
    return yaml.SafeLoader.construct_mapping(loader, node, deep=True)


_UniqueKeyLoader.add_constructor(yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG, _construct_mapping)


def parse_duration_s(text: str) -> float:
    """Parse a duration such as ``20 min`` into seconds.

    :raises ValueError: the text is not a number with a known unit.
    """
    return _parse_quantity(text, DURATION_UNITS_S, "a duration such as 500 ms, 30 s, 20 min or 2 h")


def parse_memory_gb(text: str) -> float:
    """Parse an amount of memory such as ``32 GB`` into gigabytes.

    :raises ValueError: the text is not a number with a known unit.
    """
    return _parse_quantity(text, MEMORY_UNITS_GB, "an amount of memory such as 512 MB or 32 GB")


def _parse_quantity(text: str, units: dict[str, float], expected: str) -> float:
    match = QUANTITY_PATTERN.match(str(text))
    if match is None or match[2] not in units:
        raise ValueError(f"expected {expected}, found {text!r}")
    return float(match[1]) * units[match[2]]


def _make_strict_hook(kind: type, description: str):
    def convert(value: Any, _: type) -> Any:
        accepted = (int, float) if kind is float else (kind,)
        if isinstance(value, bool) and kind is not bool or not isinstance(value, accepted):
            raise TypeError(f"expected {description}, found {value!r}")
        return kind(value)

    return convert


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
    for kind, description in (
        (int, "an integer"),
        (float, "a number"),
        (str, "a string"),
        (bool, "true or false"),
    ):
        converter.register_structure_hook(kind, _make_strict_hook(kind, description))
    return converter


_CONVERTER = _make_converter()


def read_yaml(path: Path) -> tuple[Any, list[str]]:
    """Read a YAML file.

    :return: the content and no findings, or ``None`` and the findings.
    """
    try:
        return yaml.load(path.read_text(encoding="utf-8"), Loader=_UniqueKeyLoader), []
    except OSError as exc:
        return None, [f"{path}: cannot be read: {exc.strerror}"]
    except (yaml.YAMLError, UnicodeDecodeError) as exc:
        return None, [f"{path}: is not valid YAML: {' '.join(str(exc).split())}"]


def structure_document(content: Any, kind: type[T], path: Path) -> tuple[T | None, list[str]]:
    """Structure the content of a YAML file as an instance of an attrs class.

    :param kind: the attrs class.
    :return: the document and no findings, or ``None`` and one message per finding with file and key
        path.
    """
    if not isinstance(content, dict):
        return None, [f"{path}: expected a mapping of keys at the top level"]
    try:
        return _CONVERTER.structure(content, kind), []
    except cattrs.BaseValidationError as exc:
        findings = cattrs.transform_error(exc, path="", format_exception=_describe_error)
        return None, [f"{path}: {_format_finding(finding)}" for finding in findings]


def _describe_error(exc: BaseException, kind: type | None) -> str:
    if isinstance(exc, ForbiddenExtraKeysError):
        return f"unknown key {', '.join(sorted(exc.extra_fields))}"
    if isinstance(exc, KeyError):
        return f"missing key {exc.args[0]}"
    if isinstance(exc, TypeError | ValueError):
        if "expected" in str(exc):
            return str(exc)
        return f"expected {getattr(kind, '__name__', kind)}: {exc}"
    return str(exc)


def _format_finding(finding: str) -> str:
    """Convert ``message @ .key['x']`` of cattrs into ``key.x: message``."""
    message, _, where = finding.rpartition(" @ ")
    where = re.sub(r"\['?([^'\]]*)'?\]", r".\1", where).strip(".")
    return f"{where}: {message}" if where else message
