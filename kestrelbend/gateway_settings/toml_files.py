"""Reads a file into a model of msgspec structs and says all that is wrong with it at once.

msgspec's own conversion ends at the first fault.  Here each value is converted by itself, so that a person
who wrote a file sees everything in one go, each fault with its line and key.  A model may have
`faults(self)`, which yields (key, text) for what only shows when its fields are looked at together.
"""

from __future__ import annotations

import types
import typing
from dataclasses import dataclass

import msgspec

from . import units


@dataclass(frozen=True, slots=True)
class Fault:
    path: tuple
    text: str
    line: int = 0

    def __str__(self):
        return f"line {self.line}: " * bool(self.line) + f"{dotted(self.path)}: {self.text}"


class InvalidFile(Exception):
    """A file that cannot be used; `faults` in the order of their lines."""

    def __init__(self, name, faults):
        self.name, self.faults = name, faults
        super().__init__("\n".join(f"{name}: {fault}" for fault in faults))


def dotted(path):
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}" if text else str(part)
    return text or "the file"


def read_toml(path, model):
    """The model that a TOML file states; raises `InvalidFile` with all its faults."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as trouble:
        raise InvalidFile(path, [Fault((), str(trouble))]) from None
    return parse_toml(text, model, path)


def parse_toml(text, model, name="configuration"):
    import tomllib  # not at the top: a gateway told by JSON starts without them

    from . import toml_lines

    try:
        given = tomllib.loads(text)
    except tomllib.TOMLDecodeError as trouble:
        raise InvalidFile(name, [Fault((), f"not TOML: {trouble}")]) from None
    found = toml_lines.key_lines(text)
    made, faults = convert(model, given)
    if faults:
        placed = [Fault(f.path, f.text, toml_lines.line_of(found, f.path)) for f in faults]
        raise InvalidFile(name, sorted(placed, key=lambda f: (f.line, str(f.path))))
    return made


def convert(model, given, path=(), together=True):
    """(an instance or None, faults) for a struct and the mapping that states it; `together`: its fields are
    also looked at beside one another."""
    if not isinstance(given, dict):
        return None, [Fault(path, f"expected a table, got {kind(given)}")]
    fields = {field.encode_name: field for field in msgspec.structs.fields(model)}
    values, faults = {}, []
    tag = model.__struct_config__.tag_field
    for key in given:
        if key not in fields and key != tag:
            faults.append(Fault((*path, key), unknown("key", key, fields)))
    for key, field in fields.items():
        if key in given:
            value, wrong = one(field.type, given[key], (*path, key), together)
            values[field.name] = value
            faults += wrong
        elif field.required:
            faults.append(Fault(path, f"{key} is missing"))
    if faults:
        return None, faults
    made = model(**values)
    for key, text in getattr(made, "faults", tuple)() if together else ():
        faults.append(Fault((*path, *key) if isinstance(key, tuple) else (*path, key), text))
    return made, faults


def one(wanted, given, path, together=True):
    """One value of a type: structs, lists and mappings of them and tagged unions are walked into."""
    if typing.get_origin(wanted) is typing.Annotated and isstruct(typing.get_args(wanted)[0]):
        wanted = typing.get_args(wanted)[0]
    origin, args = typing.get_origin(wanted), typing.get_args(wanted)
    if isstruct(wanted):
        return convert(wanted, given, path, together)
    if origin in (list, tuple) and holds_structs(args[0]):
        if not isinstance(given, list):
            return None, [Fault(path, f"expected a list, got {kind(given)}")]
        pairs = [one(args[0], each, (*path, at), together) for at, each in enumerate(given)]
        return [made for made, _ in pairs], [fault for _, wrong in pairs for fault in wrong]
    if origin is dict and holds_structs(args[1]) and isinstance(given, dict):
        pairs = {key: one(args[1], each, (*path, key), together) for key, each in given.items()}
        return {k: made for k, (made, _) in pairs.items()}, [f for _, wrong in pairs.values() for f in wrong]
    if origin in (typing.Union, types.UnionType) and any(map(isstruct, args)):
        return tagged([arg for arg in args if isstruct(arg)], given, path)
    try:
        return msgspec.convert(given, wanted, dec_hook=hook), []
    except (msgspec.ValidationError, ValueError) as trouble:
        return None, [Fault(path, plain(trouble))]


def tagged(models, given, path):
    """The struct of a union that the given table names by its tag."""
    if len(models) == 1:
        return convert(models[0], given, path)
    name = models[0].__struct_config__.tag_field
    by_tag = {model.__struct_config__.tag: model for model in models}
    if not isinstance(given, dict):
        return None, [Fault(path, f"expected a table, got {kind(given)}")]
    if name not in given:
        return None, [Fault(path, f"{name} is missing: one of {', '.join(sorted(by_tag))}")]
    if given[name] not in by_tag:
        return None, [Fault((*path, name), unknown(name, given[name], by_tag))]
    return convert(by_tag[given[name]], given, path)


def hook(wanted, value):
    reader = units.READERS.get(wanted)
    if reader is None:
        raise NotImplementedError(f"no reader for {wanted}")
    return reader(value)


def isstruct(wanted):
    return isinstance(wanted, type) and issubclass(wanted, msgspec.Struct)


def holds_structs(wanted):
    return isstruct(wanted) or any(map(isstruct, typing.get_args(wanted)))


def kind(value):
    return {
        dict: "a table",
        list: "a list",
        str: "text",
        bool: "true or false",
        int: "a number",
        float: "a number",
    }.get(type(value), type(value).__name__)


def unknown(what, given, known):
    import difflib

    near = difflib.get_close_matches(str(given), known, 1, 0.5)
    return f"unknown {what} {given!r}" + (
        f"; did you mean {near[0]!r}?" if near else f"; known are {', '.join(sorted(known))}"
    )


def plain(trouble):
    """msgspec says where within the value a fault is; the path says the rest."""
    text = str(trouble)
    return text[:1].lower() + text[1:].replace("`", "").removesuffix(" - at $")
