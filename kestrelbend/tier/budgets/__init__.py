"""Token budgets of programs: shard owners count each program's tokens and retries, gateways call the owners.

Gateway side: `client` (entry point for all calls), `shard_queue` (requests to one shard), `route` (search for
the shard's owner), `names` (reservation names), `bounds` (limits on the values in a command).  Owner side:
`shard_service` (handles requests), `table` (the replicated state), `program` (one program's counter),
`idle_programs` (inactive programs), `table_snapshot` and `snapshot_codec` (snapshots).  Shared: `messages`,
`commands` (encoding of a log entry) and `shards` (which shard counts a program).
"""
