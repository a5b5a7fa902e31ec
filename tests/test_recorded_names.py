"""The names that operators use (commands, settings, response fields) equal the recorded ones.

Guards against renaming them along with identifiers of the code, which would break scripts and settings files.
"""

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
MACHINE_DEPENDENT = "jobs"  # an option whose default is the number of cores


def option_row(parameter):
    """Returns an option as it is recorded, without a default if it is a switch or depends on the machine."""
    default = (
        None
        if isinstance(parameter.default, bool) or parameter.name == MACHINE_DEPENDENT
        else parameter.default
    )
    return [parameter.name, parameter.shortcut, parameter.accepts_value(), parameter.is_list(), default]


def test_commands_have_the_recorded_arguments_and_options():
    subcommands = {}
    for name, subcommand in sorted(application(lambda path: None).all().items()):
        arguments = [
            [parameter.name, parameter.is_required(), parameter.is_list()]
            for parameter in subcommand.definition.arguments
        ]
        options = sorted(option_row(parameter) for parameter in subcommand.definition.options)
        subcommands[name] = {"arguments": arguments, "options": options}
    assert subcommands == RECORDED["verbs"]


def test_platform_settings_have_the_recorded_names():
    names = {f"{section}.{key}": name for (section, key), (name, _) in platform.SETTING_PATHS.items()}
    assert names == RECORDED["platform_names"]
    rows = {
        section: [name, {key: column for key, (column, _) in columns.items()}]
        for section, (name, columns) in platform.LIST_COLUMNS.items()
    }
    assert rows == RECORDED["platform_rows"]


def test_environment_variables_have_the_recorded_names():
    variables = set()
    for path in Path(kestrelbend.__file__).parent.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Constant) and isinstance(node.value, str):
                variables |= {node.value} if VARIABLE.fullmatch(node.value) else set()
    assert sorted(variables) == RECORDED["variables"]


def test_role_settings_files_are_parsed_as_recorded():
    for text, values in RECORDED["settings"]:
        read = attrs.astuple(Settings.parse(text.encode()))
        assert json.loads(json.dumps(read)) == values


def leaf_paths(value, at=""):
    """Yields the path of each scalar value in a response, with its type."""
    if isinstance(value, dict):
        for key, item in value.items():
            yield from leaf_paths(item, f"{at}.{key}")
    elif isinstance(value, list):
        for item in value:
            yield from leaf_paths(item, f"{at}[]")
    else:
        yield f"{at}: {type(value).__name__}"


def test_operator_api_responses_have_the_recorded_fields():
    recorded = load("answers.json")
    responses = {}

    async def read_responses(world):
        await world.operator.change()
        await asyncio.sleep(3)
        address = world.fleet.published_control_addresses()[0]
        await world.operator.retire(world.fleet.stores()[0].name, 20.0)
        for call in recorded:
            reply = await world.fleet.http.call(address, "GET", f"/api/{call}")
            responses[call] = [reply.status, sorted(set(leaf_paths(json.loads(reply.body))))]

    with logbook.NullHandler().applicationbound():
        play(read_responses, 3)
    assert responses == recorded
