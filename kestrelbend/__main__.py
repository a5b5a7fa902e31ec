"""`python -m kestrelbend`: without arguments, one gateway told by the platform's environment; with them, the
command of `kestrelbend.cli`."""
import gc
import os
import sys


def serve(path=None):
    """Serve until SIGTERM, told by a TOML file or by the platform's environment."""
    # A fleet that starts at once has little CPU for each: none of what is imported is garbage, and looking
    # for some takes a seventh of the start.  Collecting begins when the gateway serves.
    gc.disable()
    from .net.accept_queue import AcceptQueue
    from .net.signals import Early
    early, accept_queue = Early(), AcceptQueue.open(os.environ, path)
    from .net.gateway import serve as serving
    serving(early, accept_queue, path)


def main():
    if len(sys.argv) == 1:
        return serve()
    if sys.argv[1] == "serve" and len(sys.argv) < 4 and not sys.argv[-1].startswith("-"):
        return serve(*sys.argv[2:])             # the way of services: without the command's libraries
    try:
        from .cli import app
    except ImportError as missing:
        sys.exit(f"kestrelbend: this verb needs more libraries: pip install 'kestrelbend[lab]' ({missing})")
    return app(prog_name="kestrelbend")


if __name__ == "__main__":
    main()
