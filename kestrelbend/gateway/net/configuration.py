"""What a gateway is given at its start, checked once.

The platform states it by environment variables and a JSON file that one of them names; an installation of its
own by a TOML file (`settings.installation`).
"""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from ..settings.platform import Malformed, flatten, settings

if TYPE_CHECKING:
    from ..settings.installation import MembershipSettings

Address = tuple[str, int]
"""Host and port."""

PORTS: Final = 65536  # they are below, and above 0
DEFAULT_SOCKETS: Final = 1024
HEXADECIMAL: Final = 16


@dataclass(slots=True)
class GatewayConfiguration:
    """All that one gateway is given.

    `discovery`: host:port of the discovery service. `counter`: the counter service, None where there is none.
    `seed`: chance is drawn from it. `sockets`: descriptors that the process may hold. `known`: the endpoint
    list as this gateway last had it, in discovery's form. `settings`: the names and values that the decisions
    pick from. `again`: reads anew what may have been replaced since; raises `Malformed`. `logs`: form and
    level of the log. `members`: set where gateways may speak; `news`: where they announce use to each other.
    `checks` (`external_authorization.attributes.CheckSettings`) and `authorisers`
    (`authoriser.AuthoriserSettings` there): external authorisation, both ways.
    """

    name: str
    listen: Address
    discovery: str
    counter: Address | None
    seed: int
    sockets: int
    known: dict[str, Any] | None
    settings: dict[str, Any]
    again: Callable[[], GatewayConfiguration] | None = None
    logs: tuple[str, str] = ("key-value", "info")
    members: MembershipSettings | None = None
    news: UsageExchangeAddresses | None = None
    checks: Any = None
    authorisers: Any = ()


@dataclass(slots=True)
class UsageExchangeAddresses:
    """Where the platform's gateways announce use to each other.

    `peers`: by the gateways' numbers. `all`: one address that reaches all of them. `most_in`: datagrams that
    a gateway takes a second.
    """

    listen: Address
    peers: list[Address]
    all: Address
    most_in: float


def address(text: object, what: str) -> Address:
    """Host and port of `host:port`; raises `Malformed`, which names `what` the text is."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < PORTS:
        raise Malformed(f"{what}: not an address: {text!r}")
    return host, int(port)


def format_address(pair: tuple[Any, int]) -> str:
    """`host:port` of a host and a port."""
    host, port = pair
    return f"{host}:{port}"


def read(env: Mapping[str, str], anew: bool = False) -> GatewayConfiguration:
    """What the platform gives, by its environment variables and the file that `ROUTER_CONFIG` names.

    Raises `Malformed`, which says what is wrong where. `anew`: the file was replaced since the start, and
    what it states goes before the environment.
    """
    path = env.get("ROUTER_CONFIG")
    if not path:
        raise Malformed("ROUTER_CONFIG names no configuration file")
    given = _read_json(path)

    def need(variable: str, key: str) -> Any:
        value = given.get(key) or env.get(variable) if anew else env.get(variable) or given.get(key)
        if not value:
            raise Malformed(f"neither {variable} nor {key!r} in {path} is given")
        return value

    try:
        seed = int(str(given.get("seed", "0")), HEXADECIMAL)
        sockets = int(given.get("limits", {}).get("sockets", DEFAULT_SOCKETS))
    except (ValueError, AttributeError, TypeError) as error:
        raise Malformed(f"{path}: {error}") from None
    discovery = need("ROUTER_DISCOVERY", "discovery")
    address(discovery, "discovery")
    return GatewayConfiguration(
        name=need("ROUTER_NAME", "name"),
        listen=address(need("ROUTER_LISTEN", "listen"), "listen"),
        discovery=discovery,
        seed=seed,
        sockets=sockets,
        known=given.get("known"),
        counter=address(given["counter"], "counter") if given.get("counter") else None,
        settings=settings(dict(flatten(given["settings"]))),
        again=lambda: read(os.environ, anew=True),
        members=platform_members(env, given),
        news=platform_news(env, given),
    )


def _read_json(path: str) -> dict[str, Any]:
    try:
        with open(path, encoding="utf-8") as file:
            given = json.load(file)
    except (OSError, ValueError) as error:
        raise Malformed(f"{path}: {error}") from None
    if not isinstance(given, dict) or not isinstance(given.get("settings"), dict):
        raise Malformed(f"{path}: holds no settings")
    return given


def platform_news(env: Mapping[str, str], given: Mapping[str, Any]) -> UsageExchangeAddresses | None:
    """Announcements of use on the platform; None where there are none.

    They are sent where the settings allow messages between gateways, and none other than these are sent.
    """
    stated = given["settings"]
    limits = stated.get("policyLimits", {})
    most_in = stated.get("familyInfo", {}).get("peerInPerS", 0)
    is_off = env.get("KESTRELBEND_MEMBERS") or env.get("KESTRELBEND_NEWS") == "off"
    has_addresses = all(given.get(name) for name in ("peer_listen", "peers", "peers_all"))
    if is_off or not limits.get("peers") or not most_in or not has_addresses:
        return None
    return UsageExchangeAddresses(
        listen=address(given["peer_listen"], "peer_listen"),
        most_in=float(most_in),
        peers=[address(peer, "peers") for peer in given["peers"]],
        all=address(given["peers_all"], "peers_all"),
    )


def platform_members(env: Mapping[str, str], given: Mapping[str, Any]) -> MembershipSettings | None:
    """Membership on the platform; None where there is none, raises `Malformed`.

    There is one where KESTRELBEND_MEMBERS names a file with the keys, and the settings allow messages. The
    peers are the platform's; the one with this gateway's number is its own.
    """
    path = env.get("KESTRELBEND_MEMBERS")
    limits = given["settings"].get("policyLimits", {})
    if not path or not limits.get("peers") or not given.get("peer_listen") or not given.get("peers"):
        return None
    # Loaded only where it is needed: a start is short of CPU.
    import tomllib

    from ..settings.installation import Members
    from ..settings.toml_files import InvalidFile, convert

    try:
        with open(path, "rb") as file:
            stated = tomllib.load(file)
        number = int(given["settings"].get("index", 0))
        stated |= {
            "listen": given["peer_listen"],
            "peers": list(given["peers"]),
            "seen_at": given["peers"][number],
        }
        members, faults = convert(Members, stated)
        if faults:
            raise InvalidFile(path, faults)
    except (OSError, ValueError, IndexError, InvalidFile) as error:
        raise Malformed(f"KESTRELBEND_MEMBERS: {error}") from None
    assert members is not None  # without faults there is an instance
    return members.to_membership_settings(env.get("ROUTER_NAME") or given["name"])


def read_file(path: str) -> GatewayConfiguration:
    """An installation's own file (TOML); raises `Malformed` with all that is wrong with it."""
    from ..settings.installation import Installation
    from ..settings.toml_files import InvalidFile, read_toml

    try:
        stated = read_toml(path, Installation)
    except InvalidFile as error:
        raise Malformed(str(error)) from None
    return GatewayConfiguration(
        name=stated.name,
        listen=stated.listen.host_and_port,
        discovery=str(stated.discovery),
        counter=stated.counter_at.host_and_port if stated.counter_at else None,
        seed=int(stated.seed, HEXADECIMAL),
        sockets=stated.limits.sockets,
        known=None,
        settings=stated.settings(),
        again=lambda: read_file(path),
        logs=(stated.logs.form, stated.logs.level),
        members=stated.members.to_membership_settings(stated.name) if stated.members else None,
        checks=stated.checks,
        authorisers=stated.authorisers,
    )
