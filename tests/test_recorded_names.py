"""Names that operators use are those of the text before the renaming: verbs, settings, fields."""

from __future__ import annotations

import ast
import asyncio
import json
import re
from pathlib import Path

import attrs
import logbook

import kestrelbend
from kestrelbend.command.application import application
from kestrelbend.gateway.settings import platform
from kestrelbend.tier.fleet.world import play
from kestrelbend.tier.roles.settings import Settings
from tests.recorded import load

RECORDED = load("names.json")
VARIABLE = re.compile(r"(ROUTER|KESTRELBEND|LISTEN)_[A-Z_]+")
BY_MACHINE = "jobs"  # an option whose default is the machine's number of cores


def option(word):
    """An option as it is recorded; switches have no default of their own."""
    default = None if isinstance(word.default, bool) or word.name == BY_MACHINE else word.default
    return [word.name, word.shortcut, word.accepts_value(), word.is_list(), default]


def test_the_verbs_take_the_recorded_arguments_and_options():
    verbs = {}
    for name, verb in sorted(application(lambda path: None).all().items()):
        arguments = [[word.name, word.is_required(), word.is_list()] for word in verb.definition.arguments]
        options = sorted(option(word) for word in verb.definition.options)
        verbs[name] = {"arguments": arguments, "options": options}
    assert verbs == RECORDED["verbs"]


def test_the_gateways_settings_have_the_recorded_names():
    names = {f"{section}.{key}": name for (section, key), (name, _) in platform.SETTING_PATHS.items()}
    assert names == RECORDED["platform_names"]
    rows = {
        section: [name, {key: column for key, (column, _) in columns.items()}]
        for section, (name, columns) in platform.LIST_COLUMNS.items()
    }
    assert rows == RECORDED["platform_rows"]


def test_the_environment_variables_have_the_recorded_names():
    found = set()
    for path in Path(kestrelbend.__file__).parent.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Constant) and isinstance(node.value, str):
                found |= {node.value} if VARIABLE.fullmatch(node.value) else set()
    assert sorted(found) == RECORDED["variables"]


def test_the_roles_settings_files_are_read_as_recorded():
    for text, values in RECORDED["settings"]:
        read = attrs.astuple(Settings.parse(text.encode()))
        assert json.loads(json.dumps(read)) == values


def paths(value, at=""):
    """The names that lead to each plain value of an answer, with its type."""
    if isinstance(value, dict):
        for key, item in value.items():
            yield from paths(item, f"{at}.{key}")
    elif isinstance(value, list):
        for item in value:
            yield from paths(item, f"{at}[]")
    else:
        yield f"{at}: {type(value).__name__}"


def test_the_operators_answers_have_the_recorded_fields():
    recorded = load("answers.json")
    answered = {}

    async def story(world):
        await world.operator.change()
        await asyncio.sleep(3)
        address = world.fleet.published_control_addresses()[0]
        await world.operator.retire(world.fleet.stores()[0].name, 20.0)
        for call in recorded:
            reply = await world.fleet.http.call(address, "GET", f"/api/{call}")
            answered[call] = [reply.status, sorted(set(paths(json.loads(reply.body))))]

    with logbook.NullHandler().applicationbound():
        play(story, 3)
    assert answered == recorded
