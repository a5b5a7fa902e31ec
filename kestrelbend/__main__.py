"""`python -m kestrelbend`: one gateway, told by its environment where everything is."""
import gc
import os
import sys


def main():
    if len(sys.argv) > 1:
        sys.exit("usage: python -m kestrelbend   (told by ROUTER_CONFIG and the other ROUTER_ variables)")
    # A fleet that starts at once has little CPU for each: none of what is imported is garbage, and looking
    # for some takes a seventh of the start.  Collecting begins when the gateway serves.
    gc.disable()
    from .net.porch import Porch
    from .net.signals import Early
    early, porch = Early(), Porch.open(os.environ)
    from .net.gateway import serve
    serve(early, porch)


if __name__ == "__main__":
    main()
