"""Each program's tokens and retries, counted by the owners of shards and asked for by the gateways.

A gateway's side: `client` (all calls), `shard_queue` (the requests to one shard), `route` (the search for
its owner), `names` (of reservations), `bounds` (what a command may contain).  An owner's side:
`shard_service` (requests in, replies out), `table` (the replicated state), `program` (one program's
counter), `idle_programs`, and for snapshots `table_snapshot` and `snapshot_codec`.  Between them:
`messages`, `commands` (the bytes of a log entry) and `shards` (which shard counts a program).
"""
