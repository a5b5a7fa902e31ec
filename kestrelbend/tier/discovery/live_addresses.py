"""Which incarnations of backends that are not departed are known at each address.

Invariant: an address without incarnations is not kept, and `count` is the number of incarnations.
"""

from __future__ import annotations


class LiveAddresses:
    """Incarnations by address."""

    def __init__(self) -> None:
        self._at: dict[str, set[str]] = {}
        self.count = 0

    def add(self, address: str, identity: str) -> None:
        """Adds an incarnation; it may be known already."""
        known = self._at.setdefault(address, set())
        if identity not in known:
            self.count += 1
        known.add(identity)

    def remove(self, address: str, identity: str) -> None:
        """Forgets an incarnation, if it is known at the address."""
        known = self._at.get(address)
        if known is None or identity not in known:
            return
        known.remove(identity)
        self.count -= 1
        if not known:
            del self._at[address]

    def others(self, address: str, identity: str) -> tuple[str, ...]:
        """The incarnations at an address beside one."""
        known = self._at.get(address)
        if known is None or known == {identity}:
            return ()
        return tuple(sorted(known - {identity}))

    def identities(self) -> tuple[str, ...]:
        """All incarnations."""
        return tuple(identity for known in self._at.values() for identity in known)
