"""Reading TOML files for verbs: their faults end the command."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from .outcome import wrong


def read(path: Path, model: type) -> Any:
    """The model that a TOML file states; ends the command with all faults of one that cannot be used."""
    from kestrelbend.gateway.settings.toml_files import InvalidFile, read_toml

    try:
        return read_toml(str(path), model)
    except InvalidFile as faults:
        raise wrong(faults) from None
