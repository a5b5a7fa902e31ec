"""The verbs that serve: the gateway in service, and the roles of the tier."""

from __future__ import annotations

from collections.abc import Callable
from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from .outcome import DONE
from .verb import Verb


class ServeVerb(Verb):
    """The gateway in service; how it starts is handed in, as the start must not need this package."""

    name = "serve"
    description = (
        "Serve as one gateway until SIGTERM; without a file, told by the platform's environment "
        "(ROUTER_CONFIG)."
    )
    arguments: ClassVar[list[Argument]] = [argument("file", "An installation's TOML file.", optional=True)]

    def __init__(self, serve: Callable[[str | None], None]) -> None:
        self._serve = serve
        super().__init__()

    def handle(self) -> int:
        """Serve until SIGTERM."""
        self._serve(self.argument("file"))
        return DONE


class _RoleVerb(Verb):
    """A role of the tier, told by the settings file that KESTRELBEND_SETTINGS names."""

    def handle(self) -> int:
        """Run the role until SIGTERM; its exit code."""
        from kestrelbend.tier.roles.start import serve_role

        return serve_role(self.name)


class GatewayVerb(_RoleVerb):
    """Serves clients."""

    name = "gateway"
    description = "Serve as the tier's gateway until SIGTERM: the data plane."


class ControlVerb(_RoleVerb):
    """Keeps the configuration and the list of backends."""

    name = "control"
    description = (
        "Serve as the tier's control process until SIGTERM: configuration, backends, operator's API."
    )


class StoreVerb(_RoleVerb):
    """Keeps budgets."""

    name = "store"
    description = "Serve as a store of the tier until SIGTERM: programs' budgets."


ROLE_VERBS = (GatewayVerb, ControlVerb, StoreVerb)
