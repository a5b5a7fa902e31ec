"""The gateway's network layer: HTTP/1.1 to clients, backends and discovery, RESP2 to the counter service."""
