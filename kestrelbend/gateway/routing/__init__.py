"""Which backends a gateway keeps to.  No I/O; the rules themselves are `gateway.decisions`."""
