"""`python -m kestrelbend`: without arguments, one gateway told by the platform's environment; with a role of
the tier, that role; with others, the command line of `kestrelbend.command`.

Whatever starts a process here is imported by itself: neither the gateway in service nor a role loads the
command line's libraries."""

import gc
import os
import sys

TIER_ROLES = ("gateway", "control", "store")


def serve(path: str | None = None) -> None:
    """Serve until SIGTERM, told by a TOML file or by the platform's environment."""
    # A fleet that starts at once has little CPU for each: none of what is imported is garbage, and looking
    # for some takes a seventh of the start.  Collecting begins when the gateway serves.
    gc.disable()
    from .gateway.net.accept_queue import AcceptQueue
    from .gateway.net.signals import EarlySignals

    early, accept_queue = EarlySignals(), AcceptQueue.open(os.environ, path)
    from .gateway.net.gateway import serve as serving

    serving(early, accept_queue, path)


def main() -> int | None:
    """Carries out what the command line says; returns the exit code, or None for 0."""
    arguments = sys.argv[1:]
    if not arguments:
        serve()
        return None
    if arguments[0] == "serve" and len(arguments) < 3 and not arguments[-1].startswith("-"):
        serve(*arguments[1:])
        return None
    if len(arguments) == 1 and arguments[0] in TIER_ROLES:
        from .tier.roles.start import serve_role

        return serve_role(arguments[0])
    try:
        from .command.application import run
    except ImportError as missing:
        more = "pip install 'kestrelbend[lab,tier]'"
        sys.exit(f"kestrelbend: this verb needs more libraries: {more} ({missing})")
    return run(arguments, serve)


if __name__ == "__main__":
    sys.exit(main())
