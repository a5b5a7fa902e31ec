"""What a gateway is told at its start: environment and configuration file, checked once."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from typing import Any, Callable

from ..gateway_settings.platform import Malformed, flatten, settings


@dataclass(slots=True)
class Told:
    name: str
    listen: tuple[str, int]
    discovery: str  # host:port
    counter: tuple[str, int] | None
    seed: int
    sockets: int  # descriptors that the process may hold
    known: dict[str, Any] | None  # the list as this gateway last had it
    settings: dict[str, Any]
    again: Callable[[], Told] | None = None  # reads anew what may have been replaced since
    logs: tuple[str, str] = ("key-value", "info")
    members: Any = None  # gateway_settings.installation.MembershipSettings, where gateways may speak
    news: Any = None  # NewsTold, where gateways tell each other of use
    checks: Any = None  # fronts.attributes.Checks
    authorisers: Any = ()  # fronts.asking.Authoriser


@dataclass(slots=True)
class NewsTold:
    listen: tuple[str, int]
    peers: list[tuple[str, int]]  # by the gateways' numbers
    all: tuple[str, int]
    most_in: float  # datagrams that a gateway takes a second


def address(text: object, what: str) -> tuple[str, int]:
    """Host and port of `host:port`; raises `Malformed`, which names `what` the text is."""
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise Malformed(f"{what}: not an address: {text!r}")
    return host, int(port)


def read(env, anew=False):
    """`anew`: the file was replaced since the start, and its word goes before that of the environment."""
    path = env.get("ROUTER_CONFIG")
    if not path:
        raise Malformed("ROUTER_CONFIG names no configuration file")
    try:
        with open(path, encoding="utf-8") as file:
            given = json.load(file)
    except (OSError, ValueError) as trouble:
        raise Malformed(f"{path}: {trouble}") from None
    if not isinstance(given, dict) or not isinstance(given.get("settings"), dict):
        raise Malformed(f"{path}: holds no settings")

    def need(variable, key):
        value = given.get(key) or env.get(variable) if anew else env.get(variable) or given.get(key)
        if not value:
            raise Malformed(f"neither {variable} nor {key!r} in {path} is given")
        return value

    try:
        seed = int(str(given.get("seed", "0")), 16)
        sockets = int(given.get("limits", {}).get("sockets", 1024))
    except (ValueError, AttributeError, TypeError) as trouble:
        raise Malformed(f"{path}: {trouble}") from None
    discovery = need("ROUTER_DISCOVERY", "discovery")
    address(discovery, "discovery")
    return Told(
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


def platform_news(env, given):
    """News of use on the platform: where the settings allow messages between gateways, and none other than
    these are sent."""
    stated, limits = given["settings"], given["settings"].get("policyLimits", {})
    most_in = stated.get("familyInfo", {}).get("peerInPerS", 0)
    off = env.get("KESTRELBEND_MEMBERS") or env.get("KESTRELBEND_NEWS") == "off"
    if (
        off
        or not limits.get("peers")
        or not most_in
        or not all(given.get(name) for name in ("peer_listen", "peers", "peers_all"))
    ):
        return None
    return NewsTold(
        listen=address(given["peer_listen"], "peer_listen"),
        most_in=float(most_in),
        peers=[address(peer, "peers") for peer in given["peers"]],
        all=address(given["peers_all"], "peers_all"),
    )


def platform_members(env, given):
    """Membership on the platform: where KESTRELBEND_MEMBERS names a file with the keys, and the settings
    allow messages.  The peers are the platform's; the one with this gateway's number is its own."""
    path, limits = env.get("KESTRELBEND_MEMBERS"), given["settings"].get("policyLimits", {})
    if not path or not limits.get("peers") or not given.get("peer_listen") or not given.get("peers"):
        return None
    from ..gateway_settings.installation import Members
    from ..gateway_settings.toml_files import InvalidFile, convert
    import tomllib

    try:
        with open(path, "rb") as file:
            stated = tomllib.load(file)
        number = int(given["settings"].get("index", 0))
        stated |= {
            "listen": given["peer_listen"],
            "peers": list(given["peers"]),
            "seen_at": given["peers"][number],
        }
        made, faults = convert(Members, stated)
        if faults:
            raise InvalidFile(path, faults)
    except (OSError, ValueError, IndexError, InvalidFile) as trouble:
        raise Malformed(f"KESTRELBEND_MEMBERS: {trouble}") from None
    return made.resolved(env.get("ROUTER_NAME") or given["name"])


def read_file(path):
    """An installation's own file (TOML); raises Malformed with all that is wrong with it."""
    from ..gateway_settings.installation import Installation
    from ..gateway_settings.toml_files import InvalidFile, read_toml

    try:
        stated = read_toml(path, Installation)
    except InvalidFile as wrong:
        raise Malformed(str(wrong)) from None
    return Told(
        name=stated.name,
        listen=stated.listen.pair,
        discovery=str(stated.discovery),
        counter=stated.counter_at.pair if stated.counter_at else None,
        seed=int(stated.seed, 16),
        sockets=stated.limits.sockets,
        known=None,
        settings=stated.settings(),
        again=lambda: read_file(path),
        logs=(stated.logs.form, stated.logs.level),
        members=stated.members.resolved(stated.name) if stated.members else None,
        checks=stated.checks,
        authorisers=stated.authorisers,
    )
