"""Membership of the tier: its processes, their control nodes, and the placement of shards on replicas.

messages                  heartbeats, summaries, directories, subscriptions, contact requests
table                     at a control node: the live processes, according to heartbeats
directory                 at every process: members and shard owners, merged from several control nodes
control_choice            which control nodes a process reports to and takes streams from
ring                      order of the control nodes for each process
owner_contact             whether a replica is in contact with its shard's owner, and current
contact_period            how long a control node has been in contact without a break
placement                 which replicas should hold a shard
placement_changes         which placements of budget shards must change now
status                    the status report for operators
"""
