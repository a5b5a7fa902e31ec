"""How a verb ends: exit codes, and the exception that ends one early."""

from __future__ import annotations

DONE = 0
FAILED = 1
WRONG = 2  # the words of the command line or a file


class CommandFailed(Exception):
    """Ends a verb with a text on standard error and an exit code."""

    def __init__(self, text: str, code: int = FAILED) -> None:
        super().__init__(text)
        self.code = code


def wrong(trouble: object) -> CommandFailed:
    """The words or a file are wrong."""
    return CommandFailed(str(trouble), WRONG)
