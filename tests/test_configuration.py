"""The one model of what a gateway is told, from a TOML file and from the platform's words; the log lines."""

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
from kestrelbend.gateway.net.accept_queue import listen_address
from tests.helpers import StandIns, run

EXAMPLE = Path(__file__).parent.parent / "deploy" / "gateway.toml"


def faults(text):
    with pytest.raises(toml_files.InvalidFile) as caught:
        toml_files.parse_toml(text, Installation, "gateway.toml")
    return str(caught.value).splitlines()


def test_the_example_says_the_same_as_the_platforms_words():
    stated = toml_files.read_toml(str(EXAMPLE), Installation)
    given = {
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
    assert repr(platform.settings(dict(platform.flatten(given)))) == repr(stated.settings())


def test_what_cannot_be_used_is_a_typed_error_with_a_code():
    for error, made, code in (
        (toml_files.InvalidFile, lambda: toml_files.parse_toml("x", Installation), "settings.invalid_file"),
        (platform.Malformed, lambda: platform.settings({"tick": "soon"}), "settings.malformed"),
    ):
        with pytest.raises(error) as caught:
            made()
        assert isinstance(caught.value, GatewayError) and caught.value.code == code


def test_every_fault_is_said_at_once_with_its_line_and_the_nearest_name():
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
    said, lines = faults(text), text.splitlines()
    assert len(said) == 7
    for key, part in (
        ("backends.most_opne", "did you mean 'most_open'"),
        ("counter.timeout", "its unit"),
        ("limits.memory", "256 miles"),
        ("backends.cold_from", "share"),
        ("operations[1].scope", "hall"),
        ("listen", "host:port"),
        ("fleet.gateways", "int"),
    ):
        fault = next(line for line in said if f" {key}: " in line)
        assert part in fault
        number = int(fault.split("line ")[1].split(":")[0])
        assert key.split(".")[-1] in lines[number - 1]


@pytest.mark.parametrize(
    "old, new, part",
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
def test_what_does_not_fit_together_is_said(old, new, part):
    text = EXAMPLE.read_text()
    assert old in text
    said = faults(text.replace(old, new, 1))
    assert len(said) == 1 and part in said[0]


@given(st.integers(0, 10**12), st.sampled_from(list(units.TIME_UNITS)))
def test_a_time_is_read_as_written(number, unit):
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
def test_whatever_is_given_either_is_taken_or_its_faults_are_said(given):
    made, wrong = toml_files.convert(Installation, given)
    assert (made is None) or not wrong
    assert made is not None or all(fault.text for fault in wrong)


def test_a_gateway_serves_by_a_file_reloads_it_and_writes_json_lines(tmp_path):
    """In a process of its own: `kestrelbend serve FILE`."""
    path = tmp_path / "gateway.toml"

    async def test():
        async with StandIns() as world:
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
            assert listen_address({}, str(path)) == tuple(world.listen)
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
            refused = next(r for r in rows if r["event"] == "configuration not taken")
            assert "sockets" in refused["why"] and refused["level"] == "error"

    run(test())


def test_a_wrong_file_ends_the_start_with_all_its_faults(tmp_path):
    path = tmp_path / "gateway.toml"
    path.write_text('name = "x"\nlisten = "127.0.0.1:1"\ndiscovery = "d"\n')
    with pytest.raises(platform.Malformed) as caught:
        configuration.read_file(str(path))
    assert "discovery" in str(caught.value)
    assert msgspec.json.encode(str(caught.value))


@pytest.mark.parametrize(
    "path, value, plain",
    [
        ("policyLimits.retryAfter", "maybe", "neither true nor false"),
        ("classes.0.worth", "dear", "could not convert"),
        ("classes.0.worth", "-1", ">= 0.0"),
        ("familyInfo.metering", "nan", "not a finite number"),
    ],
)
def test_what_the_module_newly_reads_is_checked_under_its_own_name(path, value, plain):
    pairs = {"classes.count": "1", "classes.0.name": "op", path: value}
    with pytest.raises(platform.Malformed) as caught:
        platform.settings(pairs)
    assert path in str(caught.value) and plain in str(caught.value) and "\n" not in str(caught.value)


def test_what_the_module_newly_reads_leaves_a_gateway_as_it_was_where_it_is_not_told():
    told = platform.settings({"classes.count": "1", "classes.0.name": "op"})
    assert told["may_advise"] is True and told["operations"][0].value == 1.0 and told["meter_period"] == 0
    text = EXAMPLE.read_text()
    new = text.replace("[use]", '[use]\nretry_after = false\nmetering = "2s"', 1)
    there = toml_files.parse_toml(new, Installation)
    assert there.settings()["may_advise"] is False and there.settings()["meter_period"] == 2_000_000
    assert any("retry_after" in fault for fault in faults(text.replace("[use]", "[use]\nretry_after = 3", 1)))


def test_no_name_of_a_deployment_stands_in_the_program():
    """Classes, plans, zones and kinds come from settings alone.  `state` is a field of discovery's, too."""
    root = Path(__file__).parent.parent
    sites, names = (root / "deploy" / "sites").glob("*.toml"), set()
    told = [tomllib.loads(path.read_text()) for path in sites]
    for site in told:
        names |= {site["name"], *site["net"]["zones"]}
        for tier in site["tier"]:
            names |= {tier["name"], *(kind["name"] for kind in tier["kind"])}
        names |= {row["name"] for kind in ("class", "tenant") for row in site[kind]}
    assert len(told) == 2 and len(names) > 20
    sources = [root / "deploy" / "balancer.toml", *(root / "kestrelbend").rglob("*.py")]
    found = {
        name
        for name in names - {"state"}
        for path in sources
        if re.search(rf"[\"'`]{re.escape(name)}[\"'`]", path.read_text())
    }
    assert found == set()
