"""A gateway's configuration, read and checked at startup.

The platform provides environment variables and a JSON file that one of them names. A standalone installation
provides a TOML file (`settings.installation`).
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

PORT_LIMIT: Final = 65536  # exclusive; port 0 is invalid as well
DEFAULT_DESCRIPTOR_LIMIT: Final = 1024
HEXADECIMAL: Final = 16


@dataclass(slots=True)
class GatewayConfiguration:
    """The configuration of one gateway.

    `discovery`: host:port of the discovery service. `counter`: address of the counter service, None without
    one. `seed`: seed of the random generators. `descriptor_limit`: descriptors that the process may hold.
    `known_endpoints`: the last endpoint list of this gateway, in discovery's format. `settings`: the settings
    of the decisions, by name. `reread`: reads the configuration again after a change; raises `Malformed`.
    `logs`: format and level of the log. `members`: settings of the membership, None without one. `news`: the
    addresses of the usage exchange, None without one. `checks`
    (`external_authorization.attributes.CheckSettings`): settings for answering a proxy's checks.
    `authorisers` (`external_authorization.authoriser.AuthoriserSettings`): authorisers that the gateway asks.
    """

    name: str
    listen: Address
    discovery: str
    counter: Address | None
    seed: int
    descriptor_limit: int
    known_endpoints: dict[str, Any] | None
    settings: dict[str, Any]
    reread: Callable[[], GatewayConfiguration] | None = None
    logs: tuple[str, str] = ("key-value", "info")
    members: MembershipSettings | None = None
    news: UsageExchangeAddresses | None = None
    checks: Any = None
    authorisers: Any = ()


@dataclass(slots=True)
class UsageExchangeAddresses:
    """The addresses at which the platform's gateways exchange usage.

    `peers`: addresses by gateway number. `broadcast`: one address that reaches all gateways.
    `max_datagrams_per_s`: datagrams per second that a gateway accepts.
    """

    listen: Address
    peers: list[Address]
    broadcast: Address
    max_datagrams_per_s: float


def address(text: object, what: str) -> Address:
    """Parse `host:port`; raises `Malformed`, whose text starts with `what`, the name of the setting."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < PORT_LIMIT:
        raise Malformed(f"{what}: not an address: {text!r}")
    return host, int(port)


def format_address(pair: tuple[Any, int]) -> str:
    """Format a host and a port as `host:port`."""
    host, port = pair
    return f"{host}:{port}"


def read(env: Mapping[str, str], prefer_file: bool = False) -> GatewayConfiguration:
    """Read the platform's environment variables and the file that `ROUTER_CONFIG` names.

    Raises `Malformed`, which names the invalid setting. `prefer_file`: the file was replaced after the start,
    so its values take precedence over the environment.
    """
    path = env.get("ROUTER_CONFIG")
    if not path:
        raise Malformed("ROUTER_CONFIG names no configuration file")
    document = _read_json(path)

    def require(variable: str, key: str) -> Any:
        value = (
            document.get(key) or env.get(variable) if prefer_file else env.get(variable) or document.get(key)
        )
        if not value:
            raise Malformed(f"neither {variable} nor {key!r} in {path} is given")
        return value

    try:
        seed = int(str(document.get("seed", "0")), HEXADECIMAL)
        descriptor_limit = int(document.get("limits", {}).get("sockets", DEFAULT_DESCRIPTOR_LIMIT))
    except (ValueError, AttributeError, TypeError) as error:
        raise Malformed(f"{path}: {error}") from None
    discovery = require("ROUTER_DISCOVERY", "discovery")
    address(discovery, "discovery")
    return GatewayConfiguration(
        name=require("ROUTER_NAME", "name"),
        listen=address(require("ROUTER_LISTEN", "listen"), "listen"),
        discovery=discovery,
        seed=seed,
        descriptor_limit=descriptor_limit,
        known_endpoints=document.get("known"),
        counter=address(document["counter"], "counter") if document.get("counter") else None,
        settings=settings(dict(flatten(document["settings"]))),
        reread=lambda: read(os.environ, prefer_file=True),
        members=read_platform_membership(env, document),
        news=read_platform_usage_exchange(env, document),
    )


def _read_json(path: str) -> dict[str, Any]:
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except (OSError, ValueError) as error:
        raise Malformed(f"{path}: {error}") from None
    if not isinstance(document, dict) or not isinstance(document.get("settings"), dict):
        raise Malformed(f"{path}: holds no settings")
    return document


def read_platform_usage_exchange(
    env: Mapping[str, str], document: Mapping[str, Any]
) -> UsageExchangeAddresses | None:
    """Read the addresses of the platform's usage exchange; None if it is off.

    It is on if the settings allow messages between gateways and no membership uses those messages.
    """
    platform_settings = document["settings"]
    limits = platform_settings.get("policyLimits", {})
    max_datagrams_per_s = platform_settings.get("familyInfo", {}).get("peerInPerS", 0)
    is_off = env.get("KESTRELBEND_MEMBERS") or env.get("KESTRELBEND_NEWS") == "off"
    has_addresses = all(document.get(name) for name in ("peer_listen", "peers", "peers_all"))
    if is_off or not limits.get("peers") or not max_datagrams_per_s or not has_addresses:
        return None
    return UsageExchangeAddresses(
        listen=address(document["peer_listen"], "peer_listen"),
        max_datagrams_per_s=float(max_datagrams_per_s),
        peers=[address(peer, "peers") for peer in document["peers"]],
        broadcast=address(document["peers_all"], "peers_all"),
    )


def read_platform_membership(
    env: Mapping[str, str], document: Mapping[str, Any]
) -> MembershipSettings | None:
    """Read the settings of the platform's membership; None if it is off. Raises `Malformed`.

    It is on if KESTRELBEND_MEMBERS names a file with the keys and the settings allow messages between
    gateways. The platform provides the peers' addresses, among which this gateway's is at its own number.
    """
    path = env.get("KESTRELBEND_MEMBERS")
    limits = document["settings"].get("policyLimits", {})
    if not path or not limits.get("peers") or not document.get("peer_listen") or not document.get("peers"):
        return None
    # Imported only if needed, as CPU time is scarce at startup.
    import tomllib

    from ..settings.installation import Members
    from ..settings.toml_files import InvalidFile, convert

    try:
        with open(path, "rb") as file:
            members_table = tomllib.load(file)
        gateway_number = int(document["settings"].get("index", 0))
        members_table |= {
            "listen": document["peer_listen"],
            "peers": list(document["peers"]),
            "seen_at": document["peers"][gateway_number],
        }
        members, faults = convert(Members, members_table)
        if faults:
            raise InvalidFile(path, faults)
    except (OSError, ValueError, IndexError, InvalidFile) as error:
        raise Malformed(f"KESTRELBEND_MEMBERS: {error}") from None
    assert members is not None  # `convert` returns an instance if there are no faults
    return members.to_membership_settings(env.get("ROUTER_NAME") or document["name"])


def read_file(path: str) -> GatewayConfiguration:
    """Read a standalone installation's TOML file; raises `Malformed`, which lists all errors in it."""
    from ..settings.installation import Installation
    from ..settings.toml_files import InvalidFile, read_toml

    try:
        installation = read_toml(path, Installation)
    except InvalidFile as error:
        raise Malformed(str(error)) from None
    return GatewayConfiguration(
        name=installation.name,
        listen=installation.listen.host_and_port,
        discovery=str(installation.discovery),
        counter=installation.counter_at.host_and_port if installation.counter_at else None,
        seed=int(installation.seed, HEXADECIMAL),
        descriptor_limit=installation.limits.sockets,
        known_endpoints=None,
        settings=installation.settings(),
        reread=lambda: read_file(path),
        logs=(installation.logs.form, installation.logs.level),
        members=installation.members.to_membership_settings(installation.name)
        if installation.members
        else None,
        checks=installation.checks,
        authorisers=installation.authorisers,
    )
