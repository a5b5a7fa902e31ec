"""What processes of the tier say to each other, and the connections that carry it.

    messages (classes of tier/*/messages.py) --codec--> bytes --framing--> frames --peer_connection--> peer

`codec` encodes and decodes (`encode`, `decode`, `decode_with_sequence`, `DecodeError`), `wire_names` holds
what never changes, `framing` lets small messages pass large ones, `peer_connection` is one connection with
its requests and replies, `peer_connections` all of a process.  `tier.thrift` and `generated` are thrift's.
"""
