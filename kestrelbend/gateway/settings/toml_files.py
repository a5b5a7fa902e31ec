"""Reads a file into a model of msgspec structs and says all that is wrong with it at once.

msgspec's own conversion ends at the first fault.  Here each value is converted by itself, so that a person
who wrote a file sees everything in one go, each fault with its line and key.  A model may have
`faults(self)`, which yields (key, text) for what only shows when its fields are looked at together.

Invariant: `convert` gives an instance without faults, or faults; an instance with faults is not to be used.
"""

from __future__ import annotations

import types
import typing
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, TypeGuard, TypeVar

import msgspec

from ..errors import GatewayError
from . import units
from .toml_lines import Path

Model = TypeVar("Model", bound=msgspec.Struct)
Converted = tuple[Any, "list[Fault]"]
"""What a value became, and its faults; None where it became nothing."""

NAME_SIMILARITY = 0.5  # from which on a known name is suggested for an unknown one, see `difflib`
TYPE_NAMES = {
    dict: "a table",
    list: "a list",
    str: "text",
    bool: "true or false",
    int: "a number",
    float: "a number",
}


@dataclass(frozen=True, slots=True)
class Fault:
    """What is wrong with one key; `line` is 0 where the file's lines are not known."""

    path: Path
    text: str
    line: int = 0

    def __str__(self) -> str:
        place = f"line {self.line}: " if self.line else ""
        return f"{place}{format_path(self.path)}: {self.text}"


class InvalidFile(GatewayError):
    """A file that cannot be used; `faults` in the order of their lines."""

    code = "settings.invalid_file"

    def __init__(self, name: str, faults: list[Fault]) -> None:
        self.name = name
        self.faults = faults
        super().__init__("\n".join(f"{name}: {fault}" for fault in faults))


def format_path(path: Path) -> str:
    """A path as a person writes it: `operations[1].scope`."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}" if text else str(part)
    return text or "the file"


def read_toml(path: str, model: type[Model]) -> Model:
    """The model that a TOML file states; raises `InvalidFile` with all its faults."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidFile(path, [Fault((), str(error))]) from None
    return parse_toml(text, model, path)


def parse_toml(text: str, model: type[Model], name: str = "configuration") -> Model:
    """The model that a text states; raises `InvalidFile` with all its faults, under the file's `name`."""
    import tomllib  # not at the top: a gateway told by JSON starts without them

    from . import toml_lines

    try:
        given = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise InvalidFile(name, [Fault((), f"not TOML: {error}")]) from None
    instance, faults = convert(model, given)
    if faults or instance is None:
        found = toml_lines.find_key_lines(text)
        located = [Fault(f.path, f.text, toml_lines.line_of(found, f.path)) for f in faults]
        raise InvalidFile(name, sorted(located, key=lambda fault: (fault.line, str(fault.path))))
    return instance


def convert(
    model: type[Model], given: object, path: Path = (), validate: bool = True
) -> tuple[Model | None, list[Fault]]:
    """(an instance or None, faults) for a struct and the mapping that states it.

    `validate`: its fields are also looked at beside one another, by the model's own `faults`.
    """
    if not isinstance(given, dict):
        return None, [Fault(path, f"expected a table, got {type_name(given)}")]
    fields = {field.encode_name: field for field in msgspec.structs.fields(model)}
    tag = model.__struct_config__.tag_field
    unexpected = [key for key in given if key not in fields and key != tag]
    faults = [Fault((*path, key), unknown_name_text("key", key, fields)) for key in unexpected]
    values: dict[str, Any] = {}
    for key, field in fields.items():
        if key in given:
            value, value_faults = convert_value(field.type, given[key], (*path, key), validate)
            values[field.name] = value
            faults += value_faults
        elif field.required:
            faults.append(Fault(path, f"{key} is missing"))
    if faults:
        return None, faults
    instance = model(**values)
    if validate:
        faults = _cross_field_faults(instance, path)
    return instance, faults


def _cross_field_faults(instance: msgspec.Struct, path: Path) -> list[Fault]:
    """What the model itself finds wrong with its fields together."""
    check = getattr(instance, "faults", None)
    if check is None:
        return []
    return [Fault((*path, *key) if isinstance(key, tuple) else (*path, key), text) for key, text in check()]


def convert_value(expected: Any, given: object, path: Path, validate: bool = True) -> Converted:
    """One value of a type: structs, lists and mappings of them and tagged unions are walked into."""
    if typing.get_origin(expected) is typing.Annotated and is_struct(typing.get_args(expected)[0]):
        expected = typing.get_args(expected)[0]
    origin = typing.get_origin(expected)
    arguments = typing.get_args(expected)
    if is_struct(expected):
        return convert(expected, given, path, validate)
    if origin in (list, tuple) and holds_structs(arguments[0]):
        return _convert_list(arguments[0], given, path, validate)
    if origin is dict and holds_structs(arguments[1]) and isinstance(given, dict):
        return _convert_mapping(arguments[1], given, path, validate)
    if origin in (typing.Union, types.UnionType) and any(map(is_struct, arguments)):
        return _convert_tagged([each for each in arguments if is_struct(each)], given, path)
    try:
        return msgspec.convert(given, expected, dec_hook=_read_unit), []
    except (msgspec.ValidationError, ValueError) as error:
        return None, [Fault(path, _error_text(error))]


def _convert_list(item: Any, given: object, path: Path, validate: bool) -> Converted:
    if not isinstance(given, list):
        return None, [Fault(path, f"expected a list, got {type_name(given)}")]
    values: list[Any] = []
    faults: list[Fault] = []
    for position, each in enumerate(given):
        value, value_faults = convert_value(item, each, (*path, position), validate)
        values.append(value)
        faults += value_faults
    return values, faults


def _convert_mapping(item: Any, given: dict[str, Any], path: Path, validate: bool) -> Converted:
    values: dict[str, Any] = {}
    faults: list[Fault] = []
    for key, each in given.items():
        values[key], value_faults = convert_value(item, each, (*path, key), validate)
        faults += value_faults
    return values, faults


def _convert_tagged(models: list[type[msgspec.Struct]], given: object, path: Path) -> Converted:
    """The struct of a union that the given table names by its tag."""
    if len(models) == 1:
        return convert(models[0], given, path)
    tag_field = models[0].__struct_config__.tag_field
    if tag_field is None:
        raise TypeError(f"{models[0].__name__} is one of several and has no tag")
    by_tag = {model.__struct_config__.tag: model for model in models}
    if not isinstance(given, dict):
        return None, [Fault(path, f"expected a table, got {type_name(given)}")]
    if tag_field not in given:
        choice = ", ".join(sorted(map(str, by_tag)))
        return None, [Fault(path, f"{tag_field} is missing: one of {choice}")]
    if given[tag_field] not in by_tag:
        return None, [
            Fault((*path, tag_field), unknown_name_text(tag_field, given[tag_field], map(str, by_tag)))
        ]
    return convert(by_tag[given[tag_field]], given, path)


def _read_unit(expected: type, value: object) -> object:
    """A value of a type of `units`, as msgspec asks for it."""
    reader = units.READERS.get(expected)
    if reader is None:
        raise NotImplementedError(f"no reader for {expected}")
    return reader(value)


def is_struct(expected: object) -> TypeGuard[type[msgspec.Struct]]:
    """Whether a type is a struct."""
    return isinstance(expected, type) and issubclass(expected, msgspec.Struct)


def holds_structs(expected: object) -> bool:
    """Whether a type is a struct or is made of some."""
    return is_struct(expected) or any(map(is_struct, typing.get_args(expected)))


def type_name(given: object) -> str:
    """What a value is, in a person's words."""
    return TYPE_NAMES.get(type(given), type(given).__name__)


def unknown_name_text(what: str, given: object, known: Iterable[str] | Mapping[str, Any]) -> str:
    """The text of a fault: a name that isn't known, with the nearest one or all that are."""
    import difflib  # not at the top, as `tomllib`

    names = list(known)
    near = difflib.get_close_matches(str(given), names, 1, NAME_SIMILARITY)
    if near:
        return f"unknown {what} {given!r}; did you mean {near[0]!r}?"
    return f"unknown {what} {given!r}; known are {', '.join(sorted(names))}"


def _error_text(error: Exception) -> str:
    """What msgspec finds wrong, without the place within the value: the path says that."""
    text = str(error)
    return text[:1].lower() + text[1:].replace("`", "").removesuffix(" - at $")
