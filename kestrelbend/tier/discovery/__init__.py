"""The backends that exist, by their own heartbeats.

messages, order           what is known of a backend, and which of two reports is newer
report                    reading a backend's heartbeat, or rejecting it
registry                  at a control node: all backends; with live_addresses and tombstones
exchange, subscriber      from a registry to the other control nodes and to gateways
view                      at a gateway: the ready backends, merged from several control nodes
freshness                 which backends are unresponsive; update_continuity: for how long updates came
"""
