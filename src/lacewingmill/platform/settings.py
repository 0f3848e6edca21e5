"""The settings file that the platform writes: lines of the form ``a.b=value``."""

import math
from pathlib import Path

from lacewingmill.exceptions import SettingsError
from lacewingmill.jobs.settings import JobVmSettings, PlatformLimits
from lacewingmill.settings import is_address, is_port

__all__ = ["load_platform_settings"]

MS_PER_S = 1000.0


def load_platform_settings(path: Path) -> JobVmSettings:
    """Read and check the platform's settings file.

    :raises SettingsError: when the file cannot be read or a field is missing or malformed; the
        message names the field.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as exc:
        raise SettingsError(f"cannot read {path}: {exc.strerror}", step="settings") from exc
    except UnicodeDecodeError as exc:
        raise SettingsError(f"cannot read {path}: {exc}", step="settings") from exc
    fields = _Fields(_parse(text, path))
    host = fields.text("ip")
    # port_range: the ports between VMs; the first one carries calls between lacewingmill VMs.
    peer_port = fields.port("port_range")
    return JobVmSettings(
        vm=fields.text("node"),
        failure_domain=fields.text("zone"),
        front=fields.address("listen.front"),
        ready=fields.address("listen.ready"),
        peers=f"{host}:{peer_port}",
        metrics=f"{host}:{peer_port + 1}",
        store=fields.address("platform.addr"),
        advice=fields.optional_address("advice"),
        # These two only shorten takeovers, so a VM does without them when they cannot be used.
        machines=fields.usable_address("cloud.addr"),
        link_mbps=fields.usable_number("limits.link_mbps", math.inf),
        limits=PlatformLimits(
            # grace_s: from SIGTERM to SIGKILL.
            grace_s=fields.number("bounds.grace_s"),
            longest_hold_s=fields.seconds("bounds.max_hold_ms"),
            kept_s=fields.number("bounds.status_s"),
        ),
    )


def _parse(text: str, path: Path) -> dict[str, str]:
    fields = {}
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.startswith("#"):
            continue
        name, separator, value = line.partition("=")
        if not separator:
            raise SettingsError(f"{path}: line {number} has no '='", step="settings")
        fields[name.strip()] = value.strip()
    return fields


class _Fields:
    """Typed access to the fields of the file."""

    def __init__(self, fields: dict[str, str]):
        self._fields = fields

    def text(self, name: str) -> str:
        """Return a field that must not be empty."""
        value = self._fields.get(name, "")
        if not value:
            raise SettingsError(f"field {name} is missing", step="settings")
        return value

    def optional_address(self, name: str) -> str:
        """Return a field of the form ``host:port`` that may be missing or empty."""
        return self.address(name) if self._fields.get(name) else ""

    def usable_address(self, name: str) -> str:
        """Return a field of the form ``host:port``; empty when it holds anything else."""
        value = self._fields.get(name, "")
        return value if is_address(value) else ""

    def address(self, name: str) -> str:
        """Return a field of the form ``host:port``."""
        value = self.text(name)
        if not is_address(value):
            raise SettingsError(f"field {name} must be HOST:PORT, not {value!r}", step="settings")
        return value

    def port(self, name: str) -> int:
        """Return the first port of a range."""
        value = self.text(name)
        first = value.split(",")[0]
        if not is_port(first):
            raise SettingsError(
                f"field {name} must be a range of ports, not {value!r}", step="settings"
            )
        return int(first)

    def number(self, name: str) -> float:
        """Return a field as a number."""
        value = self.text(name)
        try:
            return float(value)
        except ValueError as exc:
            raise SettingsError(
                f"field {name} must be a number, not {value!r}", step="settings"
            ) from exc

    def usable_number(self, name: str, otherwise: float) -> float:
        """Return a field as a number; another one when it holds anything else."""
        try:
            return float(self._fields.get(name, ""))
        except ValueError:
            return otherwise

    def seconds(self, name: str) -> float:
        """Return a field in milliseconds as seconds."""
        return self.number(name) / MS_PER_S
