"""Who is part of the tier, where its control nodes are, and which replicas should hold which shard.

messages                  heartbeats, summaries, directories, subscriptions, contact
table                     at a control node: which processes are live, by their heartbeats
directory                 at every process: who is there, merged from several control nodes
control_choice, ring      which control nodes a process reports to and follows
owner_contact             whether a replica is in contact with its shard's owner, and current
contact_period            for how long a control node has been in contact
placement(_changes)       which replicas should hold a shard, and which placements are due
status                    the operator's view of all this
"""
