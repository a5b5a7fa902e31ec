"""Backend discovery: which backends exist, according to the heartbeats that they send.

messages                  the state of a backend, and the messages that carry it
order                     which of two reports on a backend is newer
report                    validation of a backend's heartbeat
registry                  all backends that a control node knows
live_addresses            index of the registry's live backends by address
tombstones                departed backends that are still remembered
exchange, subscriber      publishing of registry changes to other control nodes and to gateways
view                      a gateway's list of ready backends, merged from several control nodes
freshness                 detection of unresponsive backends
update_continuity         how long a gateway has received updates without a gap
"""
