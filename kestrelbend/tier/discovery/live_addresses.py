"""Index of live backends (those that are not departed) by address.

An address has more than one incarnation while the end of an earlier one is not known yet.

Invariant: an address without incarnations has no entry, and `count` is the number of all incarnations.
"""

from __future__ import annotations


class LiveAddresses:
    """Identities of live incarnations by address."""

    def __init__(self) -> None:
        self._by_address: dict[str, set[str]] = {}
        self.count = 0

    def add(self, address: str, identity: str) -> None:
        """Adds an incarnation; has no effect if it is there already."""
        known = self._by_address.setdefault(address, set())
        if identity not in known:
            self.count += 1
        known.add(identity)

    def remove(self, address: str, identity: str) -> None:
        """Removes an incarnation, if it is known at the address."""
        known = self._by_address.get(address)
        if known is None or identity not in known:
            return
        known.remove(identity)
        self.count -= 1
        if not known:
            del self._by_address[address]

    def other_identities(self, address: str, identity: str) -> tuple[str, ...]:
        """Returns all incarnations at an address except `identity`."""
        known = self._by_address.get(address)
        if known is None or known == {identity}:
            return ()
        return tuple(sorted(known - {identity}))

    def identities(self) -> tuple[str, ...]:
        """Returns the identities of all incarnations."""
        return tuple(identity for known in self._by_address.values() for identity in known)
