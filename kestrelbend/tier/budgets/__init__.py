"""Each program's tokens and retries, kept by the shards' owners and asked for by the gateways."""
