"""The settings file of a running process: read again when the platform has changed it."""

from __future__ import annotations

import logbook

from .environment import Environment
from .settings import Settings, SettingsError


class SettingsFile:
    """Tells of changes once; a file with faults changes nothing."""

    def __init__(self, path: str, environment: Environment, log: logbook.Logger) -> None:
        self._path = path
        self._environment = environment
        self._log = log
        self._changed_at = environment.settings_changed_at(path)

    def changed(self) -> Settings | None:
        """The new settings, where the file has changed since the last call and can be used."""
        changed_at = self._environment.settings_changed_at(self._path)
        if changed_at == self._changed_at:
            return None
        self._changed_at = changed_at
        try:
            return self._environment.read_settings(self._path)
        except SettingsError as fault:
            self._log.error("settings kept as they were: {}", fault)
            return None
