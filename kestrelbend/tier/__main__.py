"""`python -m kestrelbend.tier ROLE`."""

import sys

from .roles.command import main

if __name__ == "__main__":
    sys.exit(main())
