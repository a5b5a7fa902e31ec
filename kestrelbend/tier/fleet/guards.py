"""Guards of the tier: in the laboratory one of them is taken out, and a search must notice.

A guard is a check without which a promise fails.  Its mutation puts another function in the place of the one
that keeps it, for as long as `without` lasts; the code that serves knows nothing of this.

Invariant: a mutation whose function is gone is an error, never a silent nothing.
"""

from __future__ import annotations

import importlib
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, TypeVar

import attrs

PACKAGE = "kestrelbend."
MUTATIONS = f"{__package__}.mutations"  # these may call what they take the place of


Function = TypeVar("Function", bound=Callable[..., Any])


class UnknownGuard(Exception):
    """No guard has this name, or the function that it names is gone."""


@attrs.frozen
class Guard:
    """The function `target` (`module:Name.name` below `kestrelbend.tier`) and the `mutation` in its place."""

    name: str
    target: str
    excludes: str  # what can go wrong without it
    mutation: Any


@attrs.frozen
class _Attribute:
    """Where a guard's function stands: an attribute of a class or of a module."""

    holder: Any
    attribute: str
    present: Any


GUARDS: dict[str, Guard] = {}


def guard(name: str, target: str, excludes: str) -> Callable[[Function], Function]:
    """Adds the decorated function as the mutation of a guard."""

    def add(mutation: Function) -> Function:
        GUARDS[name] = Guard(name, target, excludes, mutation)
        return mutation

    return add


def guard_property(name: str, target: str, excludes: str) -> Callable[[Function], Function]:
    """As `guard`, where the function that keeps the guard is a property."""

    def add(getter: Function) -> Function:
        GUARDS[name] = Guard(name, target, excludes, property(getter))
        return getter

    return add


def find(name: str) -> Guard:
    """The guard of a name; raises `UnknownGuard`."""
    if name not in GUARDS:
        raise UnknownGuard(f"no guard is named '{name}'; there are {', '.join(sorted(GUARDS))}")
    return GUARDS[name]


def locate(target: str) -> _Attribute:
    """The function that a guard names; raises `UnknownGuard` where it is gone."""
    module_name, _, path = target.partition(":")
    try:
        holder: Any = importlib.import_module(f"kestrelbend.tier.{module_name}")
        *owners, attribute = path.split(".")
        for owner in owners:
            holder = getattr(holder, owner)
        return _Attribute(holder, attribute, vars(holder)[attribute])
    except (ImportError, AttributeError, KeyError) as error:
        raise UnknownGuard(f"{target}: {error!r}") from None


@contextmanager
def without(name: str) -> Iterator[None]:
    """Takes a guard out for as long as the context lasts, wherever its function was imported."""
    removed = find(name)
    attribute = locate(removed.target)
    attributes = [attribute, *_imported(attribute)]
    try:
        for one in attributes:
            setattr(one.holder, one.attribute, removed.mutation)
        yield
    finally:
        for one in attributes:
            setattr(one.holder, one.attribute, one.present)


def _imported(attribute: _Attribute) -> list[_Attribute]:
    """Other modules that hold the same function under any name, but for the mutations themselves."""
    found = []
    for name, module in list(sys.modules.items()):
        if _may_be_patched(name) and module is not attribute.holder:
            names = [key for key, value in vars(module).items() if value is attribute.present]
            found += [_Attribute(module, key, attribute.present) for key in names]
    return found


def _may_be_patched(module_name: str) -> bool:
    return module_name.startswith(PACKAGE) and not module_name.startswith(MUTATIONS)
