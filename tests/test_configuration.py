"""Tests of a gateway's settings, from a TOML file and from the platform's JSON, and of its log lines."""

import asyncio
import json
import os
import re
import signal
import sys
import tomllib
from pathlib import Path

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from kestrelbend.gateway.errors import GatewayError
from kestrelbend.gateway.settings import platform, toml_files, units
from kestrelbend.gateway.settings.installation import Installation
from kestrelbend.gateway.net import configuration
from kestrelbend.gateway.net.accept_queue import read_listen_address
from tests.helpers import StubServices, run

EXAMPLE = Path(__file__).parent.parent / "deploy" / "gateway.toml"


def fault_messages(text):
    with pytest.raises(toml_files.InvalidFile) as caught:
        toml_files.parse_toml(text, Installation, "gateway.toml")
    return str(caught.value).splitlines()


def test_example_file_gives_the_same_settings_as_the_platform_json():
    file_settings = toml_files.read_toml(str(EXAMPLE), Installation)
    platform_json = {
        "instances": 3,
        "index": 0,
        "myZone": "a",
        "classes": [
            {"name": "lookup", "effect": "idempotent", "objective": 1200, "deadline": 3000},
            {
                "name": "transfer",
                "effect": "deduplicated",
                "keyScope": "zone",
                "keyTtl": 5000,
                "objective": 2000,
                "deadline": 8000,
                "lateWorth": 0.5,
            },
        ],
        "contracts": [
            {"name": "starter", "refill": 2, "storeSize": 8, "valueFactor": 1, "excessCost": 0.6},
            {
                "name": "enterprise",
                "refill": 40,
                "storeSize": 120,
                "concurrency": 12,
                "valueFactor": 4,
                "excessCost": 1.0,
                "ceilingRate": 60,
                "capDepth": 180,
                "hardSlack": 4,
            },
        ],
        "familyInfo": {"mayCount": True, "countWait": 30, "mostUnits": 8},
        "feedback": {"how": "probe", "fields": ["queue", "inflight", "util"]},
        "policyLimits": {
            "tryLimit": 3,
            "cancelling": True,
            "probing": True,
            "maxRetryAfter": 2000,
            "idleClose": 30000,
            "connectTimeout": 250,
            "maxOpen": 20000,
        },
        "rules": {"cold": 10000, "coldFrom": 0.25, "drainGrace": 1000, "fall": 2000, "fallMultiple": 2.5},
    }
    assert repr(platform.settings(dict(platform.flatten(platform_json)))) == repr(file_settings.settings())


def test_invalid_settings_raise_gateway_errors_with_codes():
    for error, cause_error, code in (
        (toml_files.InvalidFile, lambda: toml_files.parse_toml("x", Installation), "settings.invalid_file"),
        (platform.Malformed, lambda: platform.settings({"tick": "soon"}), "settings.malformed"),
    ):
        with pytest.raises(error) as caught:
            cause_error()
        assert isinstance(caught.value, GatewayError) and caught.value.code == code


def test_all_errors_of_a_file_are_reported_with_line_and_suggestion():
    text = EXAMPLE.read_text()
    for old, new in (
        ("most_open = 20000", "most_opne = 20000"),
        ('timeout = "30ms"', "timeout = 30"),
        ('memory = "256MiB"', 'memory = "256 miles"'),
        ('cold_from = "25%"', "cold_from = 25"),
        ('scope = "zone"', 'scope = "hall"'),
        ('listen = "127.0.0.1:8080"', 'listen = "nowhere"'),
        ("gateways = 3 ", 'gateways = "three" '),
    ):
        assert old in text
        text = text.replace(old, new, 1)
    messages, lines = fault_messages(text), text.splitlines()
    assert len(messages) == 7
    for key, part in (
        ("backends.most_opne", "did you mean 'most_open'"),
        ("counter.timeout", "its unit"),
        ("limits.memory", "256 miles"),
        ("backends.cold_from", "share"),
        ("operations[1].scope", "hall"),
        ("listen", "host:port"),
        ("fleet.gateways", "int"),
    ):
        fault = next(line for line in messages if f" {key}: " in line)
        assert part in fault
        number = int(fault.split("line ")[1].split(":")[0])
        assert key.split(".")[-1] in lines[number - 1]


@pytest.mark.parametrize(
    "old, new, message_part",
    [
        ("number = 0 ", "number = 3 ", "numbered from 0"),
        ('name = "transfer"', 'name = "lookup"', "named twice"),
        ('objective = "1.2s"', 'objective = "4s"', "shorter than the objective"),
        ('counter_at = "127.0.0.1:6400"', "", "nothing says where"),
        ("ceiling_burst = 180", "", "usable at once"),
        ("probing = true", "probing = false", "probing is not allowed"),
        ('idle_close = "30s"', "", "has to be told"),
        ('seed = "8c1f30d27a5be964"', 'seed = "dice"', "hexadecimal"),
        ("[limits]", "[limits", "line 11"),
    ],
)
def test_contradictory_settings_are_reported(old, new, message_part):
    text = EXAMPLE.read_text()
    assert old in text
    messages = fault_messages(text.replace(old, new, 1))
    assert len(messages) == 1 and message_part in messages[0]


@given(st.integers(0, 10**12), st.sampled_from(list(units.TIME_UNITS)))
def test_durations_are_read_in_their_units(number, unit):
    assert units.read_duration(f"{number}{unit}") == number * units.TIME_UNITS[unit]


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.sampled_from(["name", "fleet", "plans", "listen", "x"]), inner, max_size=4)
        ),
        max_leaves=12,
    )
)
def test_arbitrary_input_is_either_converted_or_reported_with_faults(raw):
    instance, errors = toml_files.convert(Installation, raw)
    assert (instance is None) or not errors
    assert instance is not None or all(fault.text for fault in errors)


def test_gateway_process_serves_reloads_its_file_and_logs_json_lines(tmp_path):
    """Runs `kestrelbend serve FILE` in a separate process."""
    path = tmp_path / "gateway.toml"

    async def test():
        async with StubServices() as world:
            text = EXAMPLE.read_text().replace('name = "lookup"', 'name = "op"')
            for key, value in (
                ("listen", "%s:%d" % world.listen),
                ("discovery", world.discovery.address),
                ("counter_at", world.counter.address),
            ):
                text = "\n".join(
                    f'{key} = "{value}"' if line.startswith(f"{key} = ") else line
                    for line in text.splitlines()
                )
            path.write_text(text)
            assert read_listen_address({}, str(path)) == tuple(world.listen)
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-O",
                "-m",
                "kestrelbend",
                "serve",
                str(path),
                env=dict(os.environ),
                stderr=asyncio.subprocess.PIPE,
            )
            try:
                await world.until(lambda: world.discovery.asked, 10)
                assert (await world.ask(plan="starter", wait="3"))[0] == 200
                path.write_text(text.replace("sockets = 1024", "sockets = 0"))
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.2)
                process.send_signal(signal.SIGTERM)
                log = (await process.communicate())[1].decode()
            finally:
                if process.returncode is None:
                    process.kill()
            rows = [json.loads(line) for line in log.splitlines()]
            assert process.returncode == 0
            assert {"serving", "draining", "counters"} <= {r["event"] for r in rows}
            rejection = next(r for r in rows if r["event"] == "configuration not taken")
            assert "sockets" in rejection["why"] and rejection["level"] == "error"

    run(test())


def test_invalid_file_prevents_the_start_and_names_its_errors(tmp_path):
    path = tmp_path / "gateway.toml"
    path.write_text('name = "x"\nlisten = "127.0.0.1:1"\ndiscovery = "d"\n')
    with pytest.raises(platform.Malformed) as caught:
        configuration.read_file(str(path))
    assert "discovery" in str(caught.value)
    assert msgspec.json.encode(str(caught.value))


@pytest.mark.parametrize(
    "path, value, expected_message",
    [
        ("policyLimits.retryAfter", "maybe", "neither true nor false"),
        ("classes.0.worth", "dear", "could not convert"),
        ("classes.0.worth", "-1", ">= 0.0"),
        ("familyInfo.metering", "nan", "not a finite number"),
    ],
)
def test_invalid_platform_values_are_reported_with_the_platform_path(path, value, expected_message):
    pairs = {"classes.count": "1", "classes.0.name": "op", path: value}
    with pytest.raises(platform.Malformed) as caught:
        platform.settings(pairs)
    assert (
        path in str(caught.value) and expected_message in str(caught.value) and "\n" not in str(caught.value)
    )


def test_optional_settings_default_to_the_earlier_behaviour():
    platform_settings = platform.settings({"classes.count": "1", "classes.0.name": "op"})
    assert (
        platform_settings["may_advise"] is True
        and platform_settings["operations"][0].value == 1.0
        and platform_settings["meter_period"] == 0
    )
    text = EXAMPLE.read_text()
    new = text.replace("[use]", '[use]\nretry_after = false\nmetering = "2s"', 1)
    installation = toml_files.parse_toml(new, Installation)
    assert (
        installation.settings()["may_advise"] is False
        and installation.settings()["meter_period"] == 2_000_000
    )
    assert any(
        "retry_after" in fault for fault in fault_messages(text.replace("[use]", "[use]\nretry_after = 3", 1))
    )


def test_no_name_of_a_deployment_stands_in_the_program():
    """The code names no class, plan, zone or kind of a deployment: they come only from settings.

    `state` is excluded because it is also a field of the discovery protocol.
    """
    root = Path(__file__).parent.parent
    site_paths, deployment_names = (root / "deploy" / "sites").glob("*.toml"), set()
    site_documents = [tomllib.loads(path.read_text()) for path in site_paths]
    for site in site_documents:
        deployment_names |= {site["name"], *site["net"]["zones"]}
        for tier in site["tier"]:
            deployment_names |= {tier["name"], *(kind["name"] for kind in tier["kind"])}
        deployment_names |= {row["name"] for kind in ("class", "tenant") for row in site[kind]}
    assert len(site_documents) == 2 and len(deployment_names) > 20
    sources = [root / "deploy" / "balancer.toml", *(root / "kestrelbend").rglob("*.py")]
    found = {
        name
        for name in deployment_names - {"state"}
        for path in sources
        if re.search(rf"[\"'`]{re.escape(name)}[\"'`]", path.read_text())
    }
    assert found == set()
