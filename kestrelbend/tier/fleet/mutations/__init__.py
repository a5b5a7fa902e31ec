"""The mutation of each guard.  A mutation does what the code would do if the guard had been forgotten.

Invariant: whoever imports this package has all of them in the registry.
"""

from . import contact, dataplane, gateways, groups, log  # noqa: F401  (each fills the registry)
