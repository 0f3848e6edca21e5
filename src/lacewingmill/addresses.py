"""Network addresses of the form ``host:port``."""

import re

__all__ = ["is_address", "is_port", "split_address"]

# A host name or an IPv4 address. The length is that of the longest host name.
HOST_PATTERN = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._-]{0,252})\Z")
PORT_PATTERN = re.compile(r"[0-9]{1,5}\Z")
MAX_PORT = 65535


def is_address(text: str) -> bool:
    """Return whether a string has the form ``host:port``; the host is not looked up."""
    host, _, port = text.rpartition(":")
    return HOST_PATTERN.match(host) is not None and is_port(port)


def is_port(text: str) -> bool:
    """Return whether a string is a port number."""
    return PORT_PATTERN.match(text) is not None and 0 < int(text) <= MAX_PORT


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port number.

    :raises ValueError: when the port is not a number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
