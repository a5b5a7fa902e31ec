"""The subset of backends that a gateway uses.  No I/O; `gateway.decisions` has the delivery rules."""
