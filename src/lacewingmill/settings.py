"""Settings of one entry VM, read from a YAML file."""

from pathlib import Path

import attrs

from lacewingmill.exceptions import SettingsError
from lacewingmill.yaml_files import parse_duration_s, read_yaml, structure_document

__all__ = ["Settings", "is_address", "is_port", "load_settings"]


@attrs.frozen
class _SettingsDocument:
    vm: str
    failure_domain: str
    listen: str
    control: str
    store: str
    vm_list: str
    cell: str = "main"
    drain: str = "5 s"
    stop_within: str = "10 min"
    stale_after: str = "60 s"


@attrs.frozen
class Settings:
    """Checked settings.

    :param listen: ``host:port`` for callers.
    :param control: ``host:port`` for other entry VMs, operators and probes.
    :param store: ``host:port`` of the key-value service.
    :param vm_list: ``host:port`` of the VM list.
    :param cell: name of the cell that this VM helps to run.
    :param drain_s: after a stop signal, how long callers are still accepted so that the balancer
        notices, in seconds.
    :param stop_within_s: longest time for requests in flight at a planned stop, in seconds.
    :param stale_after_s: cut off from store and peers for so long, the VM turns not ready.
    """

    vm: str
    failure_domain: str
    listen: str
    control: str
    store: str
    vm_list: str
    cell: str
    drain_s: float
    stop_within_s: float
    stale_after_s: float


def load_settings(path: Path) -> Settings:
    """Read and check a settings file.

    :raises SettingsError: with one line a fault, each with file and key.
    """
    content, findings = read_yaml(path)
    document = None
    if not findings:
        document, findings = structure_document(content, _SettingsDocument, path)
    if document is None:
        raise SettingsError("\n".join(findings), step="settings")
    return _check(document, path)


def _check(document: _SettingsDocument, path: Path) -> Settings:
    findings = []
    for key in ("listen", "control", "store", "vm_list"):
        if not is_address(getattr(document, key)):
            findings.append(f"{path}: {key}: expected HOST:PORT, an IP number and a port")
    durations = {}
    for key in ("drain", "stop_within", "stale_after"):
        try:
            durations[f"{key}_s"] = parse_duration_s(getattr(document, key))
        except ValueError as exc:
            findings.append(f"{path}: {key}: {exc}")
    if findings:
        raise SettingsError("\n".join(findings), step="settings")
    return Settings(
        vm=document.vm,
        failure_domain=document.failure_domain,
        listen=document.listen,
        control=document.control,
        store=document.store,
        vm_list=document.vm_list,
        cell=document.cell,
        **durations,
    )


def is_address(text: str) -> bool:
    """Whether a text has the form ``host:port``."""
    host, _, port = text.rpartition(":")
    return bool(host) and is_port(port)


def is_port(text: str) -> bool:
    """Whether a text is the number of a port."""
    return text.isdecimal() and 0 < int(text) < 65536
