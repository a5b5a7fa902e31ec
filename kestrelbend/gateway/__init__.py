"""The quota gateway: one of many instances that protect a shared backend.

`decisions/` holds the decision logic and does no I/O.  `hosting` runs it for any front end: `net/` is the
front end on sockets, `simulator_adapter/` the one that speaks the simulator's line protocol.  `routing/`
chooses which backends an instance uses, and `settings/` reads the configuration.  `external_authorization/`,
`gossip/`, `singleton_tasks/` and `usage_sharing/` are optional components.
"""
