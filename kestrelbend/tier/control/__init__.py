"""What a control process serves, one concern a module; `roles/control.py` joins them.

backend_reports           backends' heartbeats and ends, to their acknowledgement
member_summaries          which processes report to which control node
directory_stream          the directory, to all processes that subscribe
shard_placer              placements, decided by the owner of the configuration's shard
retirement, store_facts   emptying storage nodes, and what is recorded of their disks
"""
