"""The processes of the tier, put together from its parts.

`start.serve_role` begins one.  `process.TierProcess` is what all have, `gateway`, `control` and `store` are
the roles; `local_shards` holds a process's replicas, `environment` stands between a process and its machine.
"""
