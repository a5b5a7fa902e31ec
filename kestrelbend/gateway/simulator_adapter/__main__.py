import sys

from .codec import Malformed
from .host import serve

if __name__ == "__main__":
    if len(sys.argv) > 1:
        usage = "usage: python -m kestrelbend.gateway.simulator_adapter"
        sys.exit(f"{usage}   (speaks the wire on standard input and output)")
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except Malformed as trouble:
        sys.exit(f"benchlink: {trouble}")
    except BrokenPipeError:
        sys.exit("benchlink: the reader of the replies went away")
