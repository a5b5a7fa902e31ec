"""Converts a TOML file into msgspec structs and reports all its errors at once.

msgspec's own conversion stops at the first error.  This module converts each value separately, so that the
author of a file sees all errors together, each with its line and key.  A model may have a method
`faults(self)`, which yields (key, text) for errors that involve several fields.

Invariant: `convert` returns either an instance and no faults, or faults; if there are faults, the instance
must not be used.
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
"""The converted value, None if it could not be converted, and the value's faults."""

NAME_SIMILARITY = 0.5  # minimum `difflib` ratio for suggesting a known name in place of an unknown one
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
    """An error in the value of one key; `line` is 0 if it is unknown."""

    path: Path
    text: str
    line: int = 0

    def __str__(self) -> str:
        place = f"line {self.line}: " if self.line else ""
        return f"{place}{format_path(self.path)}: {self.text}"


class InvalidFile(GatewayError):
    """The file is invalid; `faults` holds all its errors, in the order of their lines."""

    code = "settings.invalid_file"

    def __init__(self, name: str, faults: list[Fault]) -> None:
        self.name = name
        self.faults = faults
        super().__init__("\n".join(f"{name}: {fault}" for fault in faults))


def format_path(path: Path) -> str:
    """Formats a path for messages, as in `operations[1].scope`."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}" if text else str(part)
    return text or "the file"


def read_toml(path: str, model: type[Model]) -> Model:
    """Reads a TOML file into a model; raises `InvalidFile` with all its faults."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidFile(path, [Fault((), str(error))]) from None
    return parse_toml(text, model, path)


def parse_toml(text: str, model: type[Model], name: str = "configuration") -> Model:
    """Reads TOML text into a model; raises `InvalidFile` with all its faults and the file's `name`."""
    import tomllib  # imported here: a gateway with JSON settings starts without these modules

    from . import toml_lines

    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise InvalidFile(name, [Fault((), f"not TOML: {error}")]) from None
    instance, faults = convert(model, raw)
    if faults or instance is None:
        line_numbers = toml_lines.find_key_lines(text)
        located_faults = [Fault(f.path, f.text, toml_lines.line_of(line_numbers, f.path)) for f in faults]
        raise InvalidFile(name, sorted(located_faults, key=lambda fault: (fault.line, str(fault.path))))
    return instance


def convert(
    model: type[Model], raw: object, path: Path = (), validate: bool = True
) -> tuple[Model | None, list[Fault]]:
    """Converts a mapping into a struct; returns (the instance or None, faults).

    `validate`: whether to call the model's own `faults`, which checks fields against each other.
    """
    if not isinstance(raw, dict):
        return None, [Fault(path, f"expected a table, got {type_name(raw)}")]
    fields = {field.encode_name: field for field in msgspec.structs.fields(model)}
    tag = model.__struct_config__.tag_field
    unexpected = [key for key in raw if key not in fields and key != tag]
    faults = [Fault((*path, key), unknown_name_text("key", key, fields)) for key in unexpected]
    values: dict[str, Any] = {}
    for key, field in fields.items():
        if key in raw:
            value, value_faults = convert_value(field.type, raw[key], (*path, key), validate)
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
    """Returns the errors that the model's own `faults` finds."""
    check = getattr(instance, "faults", None)
    if check is None:
        return []
    return [Fault((*path, *key) if isinstance(key, tuple) else (*path, key), text) for key, text in check()]


def convert_value(expected: Any, raw: object, path: Path, validate: bool = True) -> Converted:
    """Converts one value; recurses into structs, lists and mappings of structs, and tagged unions."""
    if typing.get_origin(expected) is typing.Annotated and is_struct(typing.get_args(expected)[0]):
        expected = typing.get_args(expected)[0]
    origin = typing.get_origin(expected)
    arguments = typing.get_args(expected)
    if is_struct(expected):
        return convert(expected, raw, path, validate)
    if origin in (list, tuple) and holds_structs(arguments[0]):
        return _convert_list(arguments[0], raw, path, validate)
    if origin is dict and holds_structs(arguments[1]) and isinstance(raw, dict):
        return _convert_mapping(arguments[1], raw, path, validate)
    if origin in (typing.Union, types.UnionType) and any(map(is_struct, arguments)):
        return _convert_tagged([argument for argument in arguments if is_struct(argument)], raw, path)
    try:
        return msgspec.convert(raw, expected, dec_hook=_read_unit), []
    except (msgspec.ValidationError, ValueError) as error:
        return None, [Fault(path, _error_text(error))]


def _convert_list(item: Any, raw: object, path: Path, validate: bool) -> Converted:
    if not isinstance(raw, list):
        return None, [Fault(path, f"expected a list, got {type_name(raw)}")]
    values: list[Any] = []
    faults: list[Fault] = []
    for position, raw_item in enumerate(raw):
        value, value_faults = convert_value(item, raw_item, (*path, position), validate)
        values.append(value)
        faults += value_faults
    return values, faults


def _convert_mapping(item: Any, raw: dict[str, Any], path: Path, validate: bool) -> Converted:
    values: dict[str, Any] = {}
    faults: list[Fault] = []
    for key, raw_item in raw.items():
        values[key], value_faults = convert_value(item, raw_item, (*path, key), validate)
        faults += value_faults
    return values, faults


def _convert_tagged(models: list[type[msgspec.Struct]], raw: object, path: Path) -> Converted:
    """Converts a table into the struct of a union that its tag selects."""
    if len(models) == 1:
        return convert(models[0], raw, path)
    tag_field = models[0].__struct_config__.tag_field
    if tag_field is None:
        raise TypeError(f"{models[0].__name__} is part of a union but has no tag field")
    by_tag = {model.__struct_config__.tag: model for model in models}
    if not isinstance(raw, dict):
        return None, [Fault(path, f"expected a table, got {type_name(raw)}")]
    if tag_field not in raw:
        choice = ", ".join(sorted(map(str, by_tag)))
        return None, [Fault(path, f"{tag_field} is missing: one of {choice}")]
    if raw[tag_field] not in by_tag:
        return None, [
            Fault((*path, tag_field), unknown_name_text(tag_field, raw[tag_field], map(str, by_tag)))
        ]
    return convert(by_tag[raw[tag_field]], raw, path)


def _read_unit(expected: type, value: object) -> object:
    """The `dec_hook` of msgspec: reads a value of one of the types in `units`."""
    reader = units.READERS.get(expected)
    if reader is None:
        raise NotImplementedError(f"no reader for {expected}")
    return reader(value)


def is_struct(expected: object) -> TypeGuard[type[msgspec.Struct]]:
    """Whether a type is a struct."""
    return isinstance(expected, type) and issubclass(expected, msgspec.Struct)


def holds_structs(expected: object) -> bool:
    """Whether a type is a struct or has a struct among its arguments."""
    return is_struct(expected) or any(map(is_struct, typing.get_args(expected)))


def type_name(raw: object) -> str:
    """Names the type of a value for messages."""
    return TYPE_NAMES.get(type(raw), type(raw).__name__)


def unknown_name_text(what: str, raw: object, known: Iterable[str] | Mapping[str, Any]) -> str:
    """Returns the message for an unknown name, with the most similar known name or else all of them."""
    import difflib  # imported here, as `tomllib` above

    known_names = list(known)
    similar = difflib.get_close_matches(str(raw), known_names, 1, NAME_SIMILARITY)
    if similar:
        return f"unknown {what} {raw!r}; did you mean {similar[0]!r}?"
    return f"unknown {what} {raw!r}; known are {', '.join(sorted(known_names))}"


def _error_text(error: Exception) -> str:
    """Returns the message of a conversion error, without msgspec's path, as the fault has its own."""
    text = str(error)
    return text[:1].lower() + text[1:].replace("`", "").removesuffix(" - at $")
