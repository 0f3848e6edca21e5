"""Reloading of the settings file, which the platform may change with or without a signal."""

from collections.abc import Callable
from pathlib import Path

from lacewingmill.exceptions import SettingsError
from lacewingmill.jobs.settings import JobVmSettings
from lacewingmill.ports import Clock

__all__ = ["CHECK_INTERVAL_S", "SettingsFile", "SettingsFollower"]

# Settings change a few times a day at most, and changes must take effect within seconds.
CHECK_INTERVAL_S = 2.0


class SettingsFile:
    """A settings file, with detection of changes since it was last loaded.

    :param path: the file that the platform writes.
    :param parse: reads and validates the settings file at a path.
    """

    def __init__(self, path: Path, parse: Callable[[Path], JobVmSettings]):
        self._path = path
        self._parse = parse
        self._last_content = b""

    @property
    def changed(self) -> bool:
        """Whether the content of the file differs from that at the last :meth:`load`."""
        return self._content() != self._last_content

    def load(self) -> JobVmSettings:
        """Read and validate the settings.

        :raises SettingsError: the settings are invalid or cannot be read.
        """
        # Read before parsing, so that a change during the parsing is detected later.
        self._last_content = self._content()
        return self._parse(self._path)

    def _content(self) -> bytes:
        """Return the content of the file; empty if it cannot be read, which parsing reports."""
        try:
            return self._path.read_bytes()
        except OSError:
            return b""


class SettingsFollower:
    """Reloads the settings when their file changes.

    :param on_change: called with the new settings.
    :param on_error: called with the reason if the new settings cannot be used.
    """

    def __init__(
        self,
        file: SettingsFile,
        clock: Clock,
        on_change: Callable[[JobVmSettings], None],
        on_error: Callable[[str], None],
    ):
        self._file = file
        self._clock = clock
        self._on_change = on_change
        self._on_error = on_error

    def run(self) -> None:
        """Check for changes periodically and reload; never returns."""
        while True:
            self._clock.sleep(CHECK_INTERVAL_S)
            if self._file.changed:
                self.reload()

    def reload(self) -> None:
        """Load the settings now, even if the file has not changed."""
        try:
            self._on_change(self._file.load())
        except SettingsError as exc:
            self._on_error(exc.message)
