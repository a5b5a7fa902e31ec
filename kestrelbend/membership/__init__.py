"""Who else serves: failure detection and news between gateways, without a server."""
