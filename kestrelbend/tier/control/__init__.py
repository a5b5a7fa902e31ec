"""The services of a control process, one per module; `roles/control.py` combines them.

backend_reports           heartbeats and departures of backends, up to their acknowledgement
member_summaries          exchange among control nodes of the processes that report to each
directory_stream          the directory streamed to all subscribed processes
shard_placer              shard placements, decided by the owner of the configuration shard
retirement                retiring of storage nodes: their replicas are moved away
store_facts               what is recorded of disks, and of the shards that have left a retiring node
"""
