"""The operator's configuration: its document, the replicated shard that stores it, its delivery to gateways.

operator_api, *_calls   HTTP API for operators and backends
shard_service           processing of an order at a control node, from receipt to acknowledgement
state                   state machine of the shard: document_orders, placements, stores, snapshot
document, checks        parsing, validation and merging of documents: schemas, field_checks
stream                  sends committed versions to gateways; announced_versions: versions to fetch
routing                 the routing table that a gateway uses

An order is a command to the configuration shard, sent by the operator or by the tier itself.  The shard's
owner is the control node whose replica leads the shard's replication group.
"""
