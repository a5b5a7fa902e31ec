"""The gateway in service: a quota gateway in front of a shared back end, one among many.

`decisions/` decides without I/O; `hosting` runs it for any front end; `net/` carries it on sockets and
`simulator_adapter/` on a simulator's wire; `settings/` reads what it is told.  `external_authorization/`,
`gossip/`, `singleton_tasks/` and `usage_sharing/` are optional parts.
"""
