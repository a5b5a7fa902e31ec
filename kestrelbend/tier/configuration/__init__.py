"""The operator's configuration: its document, the shard that keeps it, its way to the gateways.

operator_api, *_calls   HTTP calls of operators and backends
shard_service           an order's life at a control node, to its acknowledgement
state                   the shard's state machine: document_orders, placements, stores, snapshot
document, checks        reading, checking and merging documents: schemas, field_checks
stream                  committed versions to gateways; announced_versions: what a gateway has to fetch
routing                 the routing table that a gateway serves by
"""
